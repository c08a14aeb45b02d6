"""Which targets exist, who announces them, and which news is newer."""
