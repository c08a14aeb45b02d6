"""Programs that build what is shipped."""
