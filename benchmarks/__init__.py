"""Measurements of the decisions, each printing one JSON object last."""
