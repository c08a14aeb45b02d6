"""Stand-ins for the outside systems: platform, targets and callers."""
