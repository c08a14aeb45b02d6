"""The administration API and the console of a node."""
