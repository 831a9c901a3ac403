"""Parses the replies of the object API into objects, changes and errors."""

import base64
import json
import re
from typing import Any

from expression import Error, Ok, Result
from ragwort_model import ErrorKind, StoreError

from ragwort_store._objects import Change, Changes, Listing, StoredObject

_ETAG = re.compile(r'"([0-9]{1,19})"')
_ERROR_KINDS = {
    400: ErrorKind.INVALID,
    404: ErrorKind.NOT_FOUND,
    410: ErrorKind.COMPACTED,
    412: ErrorKind.CONFLICT,
    413: ErrorKind.INVALID,
    429: ErrorKind.UNAVAILABLE,
    503: ErrorKind.UNAVAILABLE,
}


def format_version(version: int) -> str:
    """Return a version as an entity tag."""
    return f'"{version}"'


def parse_version(tag: str | None) -> int | None:
    """Return the version in an entity tag, or None if the tag is missing or malformed."""
    match = _ETAG.fullmatch(tag or "")
    return int(match[1]) if match else None


def convert_status(status: int, is_write: bool) -> StoreError:
    """Return the error for an HTTP status other than success."""
    default_kind = ErrorKind.UNCERTAIN if is_write else ErrorKind.UNAVAILABLE
    kind = _ERROR_KINDS.get(status, default_kind)
    return StoreError(kind, f"the platform replied with HTTP status {status}")


def parse_listing(body: bytes) -> Result[Listing, StoreError]:
    """Parse the body of a reply to a list call."""
    try:
        reply = json.loads(body)
        items = tuple(_parse_stored(item) for item in reply["items"])
        return Ok(Listing(items, _read_int(reply, "version")))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        return Error(StoreError(ErrorKind.INVALID, f"malformed listing: {error!r}"))


def parse_changes(body: bytes) -> Result[Changes, StoreError]:
    """Parse the body of a reply to a watch call."""
    try:
        reply = json.loads(body)
        items = tuple(_parse_change(item) for item in reply["items"])
        return Ok(Changes(items, _read_int(reply, "version")))
    except (KeyError, TypeError, ValueError, RecursionError) as error:
        return Error(StoreError(ErrorKind.INVALID, f"malformed changes: {error!r}"))


def _parse_stored(item: Any) -> StoredObject:
    return StoredObject(_read_path(item), _read_int(item, "version"), _read_data(item))


def _parse_change(item: Any) -> Change:
    deleted = item["deleted"] is True
    data = b"" if deleted else _read_data(item)
    return Change(_read_path(item), _read_int(item, "version"), data, deleted)


def _read_path(item: Any) -> str:
    path = item["path"]
    if not isinstance(path, str):
        raise ValueError("path is not a string")
    return path


def _read_int(item: Any, name: str) -> int:
    value = item[name]
    if type(value) is not int:
        raise ValueError(f"{name} is not an integer")
    return value


def _read_data(item: Any) -> bytes:
    return base64.b64decode(item["data"], validate=True)
