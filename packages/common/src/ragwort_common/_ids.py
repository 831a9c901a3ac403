"""Distinct types for the identifiers and version numbers passed between packages."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Name of a node, which also identifies the single server on its host."""

ServiceName = NewType("ServiceName", str)
"""Name of a service; several servers may provide it."""

FailureDomain = NewType("FailureDomain", str)
"""Name of a group of hosts that can fail together."""

Region = NewType("Region", str)
"""Name of a group of failure domains connected by a fast network."""

Member = NewType("Member", str)
"""Name of an organization that owns services."""

CustomerName = NewType("CustomerName", str)
"""Name of a customer, whose callers identify themselves with its keys."""

KeyDigest = NewType("KeyDigest", bytes)
"""Hash of a customer's key, which stands for the key everywhere inside the system."""

CallId = NewType("CallId", int)
"""Number of a call, unique per link."""

RequestFingerprint = NewType("RequestFingerprint", bytes)
"""Hash of what makes two calls the same request, such as caller, path and body."""

Revision = NewType("Revision", int)
"""Version number of an accepted rules file; a higher one supersedes a lower one."""

Incarnation = NewType("Incarnation", int)
"""Version number of a node's announcement; a higher one supersedes a lower one."""

Epoch = NewType("Epoch", int)
"""Number of a lease's term, incremented each time the lease changes holder."""
