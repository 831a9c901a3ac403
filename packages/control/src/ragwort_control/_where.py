"""``where``: shows where a call would go now, and why, without sending it."""

from dataclasses import dataclass
from typing import Any

import aiohttp
from absl import flags
from expression import Error, Ok
from tabulate import tabulate

from ragwort_control._command import Command, Context, Outcome, Report, fail, fail_usage

PLACEMENT_PATH = "/placement"
"""Path of the explanation on a node's metrics port."""

TIMEOUT_S = 3.0
"""Timeout of the request to the node."""

_COLUMNS = (
    "node",
    "failure_domain",
    "distance",
    "state",
    "expected_ms",
    "running",
    "waiting",
    "limit",
    "failing_percent",
    "report_age_ms",
)


@dataclass(frozen=True, slots=True)
class Explanation:
    """What a node says about a call; the members are those of its reply."""

    node: str
    reply: dict[str, Any]


async def explain_placement(context: Context) -> Outcome:
    """Ask a node where it would send a call."""
    node, host, path = context.arguments
    if not path.startswith("/"):
        return Error(fail_usage(f"the path '{path}' does not start with '/'"))
    fields = {"host": host, "path": path, "customer": context.get_flag("customer")}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.get(f"http://{node}{PLACEMENT_PATH}", params=fields) as response,
        ):
            if response.status != 200:
                return Error(fail(f"{node} replied with status {response.status}"))
            reply = await response.json()
    except (TimeoutError, aiohttp.ClientError, ValueError) as error:
        cause = str(error) or "no reply in time"
        return Error(fail(f"{node} could not be asked: {cause}"))
    return Ok(Report(_describe(reply, host, path), Explanation(node, reply)))


def _describe(reply: dict[str, Any], host: str, path: str) -> str:
    if reply["refusal"]:
        where = f" by route {reply['route']}" if reply["route"] else ""
        return f"{host}{path} would be refused{where}: {reply['refusal']}"
    regions = reply["allowed_regions"]
    lines = [
        f"{host}{path} matches route {reply['route']} of version {reply['version']}:"
        f" objective {reply['objective_ms']:g} ms, rank {reply['rank']},"
        f" home regions {'any' if regions is None else ', '.join(regions) or 'none'}"
    ]
    for placement in reply["placements"]:
        share = "" if placement["weight"] == 1 else f", {placement['weight']:.0%} of the calls"
        if placement["chosen"] is None:
            found = f"would be refused: {placement['reason']}"
        else:
            found = f"would go to {placement['chosen']}, response expected {placement['reason']}"
        lines += ["", f"service {placement['service']}{share}: {found}"]
        rows = [[candidate[name] for name in _COLUMNS] for candidate in placement["candidates"]]
        headers = [name.replace("_", " ") for name in _COLUMNS]
        lines.append(tabulate(rows, headers, tablefmt="simple", missingval="-"))
    return "\n".join(lines)


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        "customer", "", "Customer whose key the call would carry.", flag_values=values
    )


COMMAND = Command(
    name="where",
    arguments="NODE HOST PATH",
    summary="Show where a node would send a call now, and why, without sending it.",
    examples=(
        "where 10.1.0.4:9102 api.example /orders/77",
        "where --customer=acme 10.1.0.4:9102 api.example /orders/77 --json",
    ),
    argument_counts=range(3, 4),
    define_flags=_define_flags,
    run=explain_placement,
)
