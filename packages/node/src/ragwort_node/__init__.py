"""The node that runs beside each server."""
