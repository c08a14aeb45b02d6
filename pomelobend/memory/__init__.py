"""Memory of a node: what it uses, and what it holds for others."""
