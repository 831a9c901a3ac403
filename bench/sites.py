"""The sites of the two members, hanbit and indice, at their current sizes."""

from dataclasses import dataclass

from ragwort_common import FailureDomain, NodeId, Region
from ragwort_policy import ServerLocation


@dataclass(slots=True, frozen=True)
class Site:
    """One member's site: its failure domains, the servers of one service and the network delays."""

    name: str
    regions: dict[FailureDomain, Region]
    slots: int
    domain_delay_s: float
    region_delay_s: float
    service_s: float
    duration_s: float
    entries_per_domain: int = 3
    local_delay_s: float = 0.0002

    @property
    def capacity_per_s(self) -> float:
        """Calls per second that the servers of a service can answer."""
        return len(self.regions) * self.slots / self.service_s

    def get_delay(self, source: FailureDomain, destination: FailureDomain) -> float:
        """Return the one-way delay between two failure domains."""
        if source == destination:
            return self.local_delay_s
        if self.regions[source] == self.regions[destination]:
            return self.domain_delay_s
        return self.region_delay_s

    def list_servers(self) -> list[ServerLocation]:
        """Return the servers of the service, one in each failure domain."""
        return [
            ServerLocation(NodeId(f"server-{domain}"), domain, region)
            for domain, region in self.regions.items()
        ]


def _make_site(name: str, regions: dict[str, list[str]], **values: float) -> Site:
    domains = {
        FailureDomain(domain): Region(region)
        for region, names in regions.items()
        for domain in names
    }
    return Site(name, domains, **values)


HANBIT = _make_site(
    "hanbit",
    {"gyeonggi": ["siheung", "hwaseong"], "gyeongnam": ["changwon", "gimhae"]},
    slots=13,
    domain_delay_s=0.001,
    region_delay_s=0.030,
    service_s=0.020,
    duration_s=3.3,
)
INDICE = _make_site(
    "indice",
    {"meseta": ["alajuela", "sanjose"], "pacifico-norte": ["canas", "santacruz"]},
    slots=6,
    domain_delay_s=0.0005,
    region_delay_s=0.030,
    service_s=0.030,
    duration_s=5.6,
)
