"""What an extended run adds to the configuration and to the settings of the nodes.

A run that is not extended has no customers, so earlier seeds replay as before.
"""

from typing import Any

from soak.customers import KeyRing

HOME_REGION = "r1"
"""The only region whose servers may run the calls of the home route."""

COLD_SERVICE = "lookup"
COLD_START_S = 3.0
COLD_PER_S = 20.0
"""The service whose servers are cold after their start, for how long, and the calls that they can
sustain meanwhile. Callers send it several times as many."""

BOUNDS = (
    "coldExcess=1.5",
    "coldSlack=8",
    "evacuationMs=5000",
    "quotaWindowS=5",
    "quotaExcess=0.1",
    "quotaSlack=20",
)


def extend_configuration(configuration: dict[str, Any], keys: KeyRing) -> set[str]:
    """Add what is not in other runs to a configuration, and return the keys that it has."""
    tenants = keys.build_tenants()
    routes = configuration["routes"]
    configuration["services"][COLD_SERVICE] |= {
        "coldStartS": COLD_START_S,
        "coldPerS": COLD_PER_S,
    }
    routes["home"] = routes["lookup"] | {"pathPrefix": "/home/", "allowedRegions": [HOME_REGION]}
    configuration["tenants"] = tenants
    for name, route in routes.items():
        # Inner calls and requests for the routes of versions have no key.
        route["authExempt"] = name == "inner" or name.startswith("v")
    return {key for tenant in tenants.values() for key in tenant["apiKeys"]}


def extend_settings(settings: dict[str, Any]) -> None:
    """Add the bounds to the settings of a node."""
    settings["bounds"] += BOUNDS
