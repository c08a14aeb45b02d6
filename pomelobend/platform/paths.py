"""Paths by which the platform and targets call a node."""

TARGETS = '/backends/'
"""Prefix of a heartbeat or a deregistration; the id of the target follows."""

READY = b'/ready'
