"""Stand-ins and a small deployment on the loopback, for the review cases.

They use the standard library only. ``review/build-2.sh`` checks them.
"""
