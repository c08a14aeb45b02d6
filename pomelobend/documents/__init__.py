"""The configuration documents that operators declare, and their rules."""
