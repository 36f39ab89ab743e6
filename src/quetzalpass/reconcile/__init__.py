"""Orders that bring the engines to the declared state."""
