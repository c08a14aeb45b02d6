"""Soaks: disturbances of real processes under load, judged from outside."""
