"""The local target: its announcement, its heartbeat and calls to it."""
