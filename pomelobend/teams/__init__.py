"""Teams of callers and their keys."""
