"""What the local target can bear: limits, queue, slow start, drain."""
