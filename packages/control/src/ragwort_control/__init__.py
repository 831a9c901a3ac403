"""The operators' command; ``main`` is its entry."""
