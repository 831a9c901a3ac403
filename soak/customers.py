"""Customers of an extended run and their keys; pure, apart from the times that callers pass in."""

from dataclasses import dataclass, field
from math import inf

CUSTOMERS = ("acre", "birch", "cedar")
"""Customers without a limit."""

LIMITED_CUSTOMER = "dune"
"""Customer whose callers send several times more than its limit allows."""

RATE_PER_S = 10.0
BURST = 10.0
"""Limit of that customer."""

KEEP_KEY_S = 3.5
"""How long callers still use a removed key; longer than a node may accept it."""


@dataclass(slots=True)
class Key:
    """A key of a customer.

    Attributes
    ----------
    added_at, removed_at
        When the store acknowledged the version that added the key, and the one that removed it.
    removal_sent_at
        When the version that removes it was first sent to the store.
    """

    customer: str
    text: str
    added_at: float = inf
    removal_sent_at: float = inf
    removed_at: float = inf


@dataclass(eq=False)
class KeyRing:
    """The keys of all customers; each customer has one valid key at a time."""

    keys: dict[str, list[Key]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for customer in (*CUSTOMERS, LIMITED_CUSTOMER):
            self.keys[customer] = [Key(customer, f"key-{customer}-1")]

    def find_key(self, customer: str, now: float) -> Key:
        """Return the key that a customer's callers use at a time."""
        keys = self.keys[customer]
        return next((key for key in keys if now < key.removed_at + KEEP_KEY_S), keys[-1])

    def replace_key(self, customer: str, now: float) -> None:
        """Replace the valid key of a customer in the next version of the configuration."""
        keys = self.keys[customer]
        keys[-1].removal_sent_at = now
        keys.append(Key(customer, f"key-{customer}-{len(keys) + 1}"))

    def acknowledge(self, texts: set[str], now: float) -> None:
        """Record that the store has acknowledged a version that has exactly these keys."""
        for key in (key for keys in self.keys.values() for key in keys):
            if key.text in texts:
                key.added_at = min(key.added_at, now)
            elif key.added_at < inf:
                key.removed_at = min(key.removed_at, now)

    def build_tenants(self) -> dict[str, dict]:
        """Return the customers as the configuration describes them."""
        tenants: dict[str, dict] = {
            customer: {"apiKeys": [keys[-1].text]} for customer, keys in self.keys.items()
        }
        tenants[LIMITED_CUSTOMER] |= {"ratePerS": RATE_PER_S, "burst": BURST}
        return tenants
