"""JSON with comments read into typed values, with every finding placed."""
