"""The operators' command-line tool; ``main`` is its entry point."""
