"""Messages between nodes and the connections that carry them."""
