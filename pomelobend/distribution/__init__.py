"""Relays, their leases, and the feed of configuration and members."""
