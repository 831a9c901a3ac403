"""The client of the platform object API."""
