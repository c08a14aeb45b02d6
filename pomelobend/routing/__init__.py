"""Finding the route of a call, choosing its target, and retrying."""
