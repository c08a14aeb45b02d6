"""Accepted configurations: manifest, snapshot, and forward-only store."""
