"""Opens the platform's store for a command and reports its errors."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from expression import Error, Ok, Result
from ragwort_store import StoreError

from ragwort_control._command import Context, Failure, fail, fail_usage
from ragwort_control._flags import PLATFORM_VARIABLE
from ragwort_control._store import Store

Value = TypeVar("Value")


async def use_store(
    context: Context, work: Callable[[Store], Awaitable[Result[Value, Failure]]]
) -> Result[Value, Failure]:
    """Run an operation on the platform's store, and close the store afterwards."""
    url = _get_url(context)
    if url.is_error():
        return Error(url.error)
    async with context.open_store(url.ok, context.get_flag("timeout-ms")) as store:
        return await work(store)


def _get_url(context: Context) -> Result[str, Failure]:
    """Return the platform's URL from the command line or the environment."""
    url = context.get_flag("platform")
    if url.startswith(("http://", "https://")):
        return Ok(url)
    found = f"the platform's URL '{url}'" if url else "the platform's URL"
    wrong = "is invalid" if url else "is missing"
    expected = f"expected --platform=http://HOST:PORT or {PLATFORM_VARIABLE}"
    return Error(fail_usage(f"{found} {wrong}, {expected}"))


def explain_error(error: StoreError) -> Failure:
    """Return the failure of a command that could not read from the platform."""
    return fail(f"the platform could not be read ({error.kind.value}): {error.message}")
