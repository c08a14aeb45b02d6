"""The HTTP front that callers and local targets send calls to."""
