"""Claims of keys: what makes a call with a key run at most once."""
