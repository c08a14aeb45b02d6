"""The platform's object API: commands and queries apart."""
