"""Finds the customer of a call by its key, and what the customer and the route say of the call."""

from dataclasses import dataclass

from ragwort_common import CustomerName, KeyDigest, Region
from ragwort_model import Configuration, Customer, Route

RANKS_PER_CUSTOMER = 1000
"""Number of route priorities within one customer priority; routes use a few. A round number, so
that both can be read off a rank in the log."""

MAX_CUSTOMER_RANK = 999_999
"""Highest number of a customer's priority that counts; keeps ranks within the codec's integers."""


@dataclass(frozen=True, slots=True)
class CallTerms:
    """What a call's customer and its route say of it.

    Attributes
    ----------
    has_customers
        Whether callers identify themselves with keys.
    customer
        Customer whose key the caller sent; None without customers, and for a call without a valid
        key on a route that needs none.
    rank
        Priority of the call, None for that of the route.
    allowed_regions
        Regions whose servers may run the call; None if all may.
    """

    has_customers: bool = False
    customer: CustomerName | None = None
    rank: int | None = None
    allowed_regions: frozenset[Region] | None = None


def find_call_terms(
    configuration: Configuration, route: Route, key: KeyDigest | None
) -> CallTerms | None:
    """Return the terms of a call, or None if it is refused because it has no key of a customer.

    Parameters
    ----------
    key
        Digest of the key that the caller sent, if any.
    """
    # The table is found by a hash of the digest, so the time taken tells nothing about a key.
    name = configuration.customer_by_key.get(key) if key is not None else None
    return find_customer_terms(configuration, route, name)


def find_customer_terms(
    configuration: Configuration, route: Route, name: CustomerName | None
) -> CallTerms | None:
    """Return the terms of a call of a customer, or None if it is refused because it has none."""
    if not configuration.customers:
        return CallTerms(allowed_regions=route.allowed_regions or None)
    if name is None:
        if route.needs_key:
            return None
        # Nested calls come by such routes, without a key.
        return CallTerms(True, None, _combine_ranks(None, route), route.allowed_regions or None)
    customer = configuration.customers[name]
    return CallTerms(
        True,
        name,
        _combine_ranks(customer.rank, route),
        _intersect_regions(customer, route),
    )


def _combine_ranks(customer_rank: int | None, route: Route) -> int:
    """Return a number that orders calls by the customer's priority, and then by the route's.

    A call without the former counts as one of the highest: nested calls have none, and the call
    that waits for them may be of any customer.
    """
    high = min(max(customer_rank or 0, 0), MAX_CUSTOMER_RANK)
    low = min(max(route.rank, 0), RANKS_PER_CUSTOMER - 1)
    return high * RANKS_PER_CUSTOMER + low


def _intersect_regions(customer: Customer, route: Route) -> frozenset[Region] | None:
    if customer.allowed_regions and route.allowed_regions:
        return customer.allowed_regions & route.allowed_regions
    return customer.allowed_regions or route.allowed_regions or None
