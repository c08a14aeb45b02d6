"""Usage reports: calls by team and window, sent by one node for all."""
