"""Mesh node for deployments that keep their state in the platform's store."""
