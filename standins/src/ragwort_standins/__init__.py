"""Stand-ins for the platform and for servers; never part of a deployment."""
