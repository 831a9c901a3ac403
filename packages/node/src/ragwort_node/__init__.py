"""The node daemon that runs beside each server."""
