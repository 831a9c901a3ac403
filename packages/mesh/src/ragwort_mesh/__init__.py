"""The node of a deployment whose state lies in the platform's store."""
