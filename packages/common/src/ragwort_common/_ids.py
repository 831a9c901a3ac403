"""Distinct types for the ids and versions that packages pass to each other."""

from typing import NewType

NodeId = NewType("NodeId", str)
"""Name of one node, and so of the one server beside it."""

ServiceName = NewType("ServiceName", str)
"""Name of a service that several servers provide."""

FailureDomain = NewType("FailureDomain", str)
"""Name of a group of hosts that may fail together."""

Region = NewType("Region", str)
"""Name of a group of failure domains joined by a fast network."""

Member = NewType("Member", str)
"""Name of a firm that owns services."""

CallId = NewType("CallId", int)
"""Number of a call, unique on the link that carries it."""

Revision = NewType("Revision", int)
"""Number of an accepted rules file; a higher one replaces a lower one."""

Incarnation = NewType("Incarnation", int)
"""Number of a node's announcement; news of a higher one replaces news of a lower one."""

Epoch = NewType("Epoch", int)
"""Number of a lease's holder; it grows each time that the lease changes hands."""
