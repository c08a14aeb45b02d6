"""Features that are run by behave, and the runner that counts them."""
