"""The decisions of the load balancer, as pure code."""


__all__ = [,]
