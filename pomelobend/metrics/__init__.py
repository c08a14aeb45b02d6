"""Counters kept on the hot path and their exposition."""
