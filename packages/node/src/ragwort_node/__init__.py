"""The sidecar daemon that runs beside each server."""
