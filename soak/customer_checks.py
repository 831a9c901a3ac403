"""Checks of customers' keys, names and limits; pure functions like those in ``soak.checks``."""

from soak.callers import CallResult
from soak.checks import MAX_CONFIGURE_S, ServerEvent, UndisturbedCheck
from soak.customers import BURST, LIMITED_CUSTOMER, RATE_PER_S

LIMIT_WINDOW_S = 5.0
LIMIT_EXCESS = 0.1
LIMIT_SLACK = 20
"""The users' bound on the calls of a customer in any window: share and number above its limit."""


def check_keys(
    results: list[CallResult], events: list[ServerEvent], was_undisturbed: UndisturbedCheck
) -> list[str]:
    """Report removed keys that a node still accepted, and valid keys that it refused."""
    arrived = {event.call_id for event in events if event.kind == "arrive"}
    violations = []
    for result in results:
        key = result.key
        if key is None:
            continue
        is_accepted = result.call_id in arrived or 200 <= result.status < 300
        if result.status == 401 and result.call_id in arrived:
            violations.append(f"{result.call_id}: refused with 401 but reached a server")
        is_late = result.sent_at > key.removed_at + MAX_CONFIGURE_S
        since = key.removed_at - MAX_CONFIGURE_S
        if is_late and is_accepted and was_undisturbed(result.member, since, result.ended_at):
            violations.append(
                f"{result.call_id}: n{result.member} accepted {key.text} "
                f"{result.sent_at - key.removed_at:.2f} s after its removal"
            )
        since = result.sent_at - MAX_CONFIGURE_S
        is_valid = key.added_at < since and result.ended_at < key.removal_sent_at
        if (
            is_valid
            and result.status == 401
            and was_undisturbed(result.member, since, result.ended_at)
        ):
            violations.append(f"{result.call_id}: n{result.member} refused the valid {key.text}")
    return violations


def check_customer_fields(results: list[CallResult], events: list[ServerEvent]) -> list[str]:
    """Report calls that reached a server with a key, or without the name of their customer."""
    customers = {result.call_id: result.key.customer for result in results if result.key}
    violations = []
    for event in events:
        if event.kind == "authorization":
            violations.append(f"{event.call_id}: {event.instance} got the Authorization field")
        expected = customers.get(event.call_id)
        if event.kind == "arrive" and expected is not None and event.customer != expected:
            violations.append(
                f"{event.call_id}: {event.instance} got customer {event.customer!r} "
                f"instead of {expected!r}"
            )
    return violations


def check_limit(results: list[CallResult], events: list[ServerEvent]) -> list[str]:
    """Report the window in which the most calls of the limited customer ran, if too many."""
    limited = {
        result.call_id
        for result in results
        if result.key is not None and result.key.customer == LIMITED_CUSTOMER
    }
    times = sorted(event.at for event in events if event.kind == "run" and event.call_id in limited)
    allowed = (RATE_PER_S * LIMIT_WINDOW_S + BURST) * (1 + LIMIT_EXCESS) + LIMIT_SLACK
    first, most, at = 0, 0, 0.0
    for last, time in enumerate(times):
        while times[first] <= time - LIMIT_WINDOW_S:
            first += 1
        if last - first + 1 > most:
            most, at = last - first + 1, time
    if most > allowed:
        return [f"{LIMITED_CUSTOMER}: {most} runs in the {LIMIT_WINDOW_S:.0f} s before {at:.2f}"]
    return []


def select_servable(results: list[CallResult]) -> list[CallResult]:
    """Return the calls that neither a limit nor the removal of their key lets a node refuse."""
    return [
        result
        for result in results
        if result.key is None
        or (
            result.key.customer != LIMITED_CUSTOMER and result.ended_at < result.key.removal_sent_at
        )
    ]
