"""Loads a node's settings: the package defaults, overridden by the operator's file."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from importlib import resources
from ipaddress import AddressValueError, IPv4Address
from pathlib import Path
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap
from ruamel.yaml.error import MarkedYAMLError, YAMLError

MAX_PORT = 65535


def _check_ipv4_address(text: str) -> str:
    try:
        return str(IPv4Address(text))
    except AddressValueError:
        raise ValueError("expected an IPv4 address such as 192.0.2.7") from None


def _check_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    _check_ipv4_address(host)
    if not (port.isascii() and port.isdigit() and int(port) <= MAX_PORT):
        raise ValueError(f"expected a port from 0 to {MAX_PORT} after the address")
    return text


Ipv4Address = Annotated[str, AfterValidator(_check_ipv4_address)]
Address = Annotated[str, AfterValidator(_check_address)]
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Positive = Annotated[int, Field(gt=0)]


class Exporter(Enum):
    """Destinations of finished spans."""

    NONE = "none"
    CONSOLE = "console"


class LogLevel(Enum):
    """Minimum severity of log lines."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class NodeSettings(_Section):
    """Identity and location of the node."""

    id: Name
    service: Name
    region: Name
    failure_domain: Name
    seeds: list[Address]
    key_ranges: Annotated[int, Field(ge=1, le=4096)]


class AddressSettings(_Section):
    """Addresses that the node listens on."""

    entry: Address
    link: Address
    control: Address
    admin: Address


class ServerSettings(_Section):
    """The local server."""

    address: Address
    slots: Positive
    connections: Positive
    queue_wait_ms: Positive
    warm_ms: Annotated[int, Field(ge=0)]


class PlatformSettings(_Section):
    """The platform's object API."""

    url: Annotated[str, Field(pattern=r"^http://[^\s]+$")]
    timeout_ms: Positive
    calls_per_s: Positive
    region: Name | None


class LimitSettings(_Section):
    """Size limits and timeouts of calls."""

    header_bytes: Positive
    body_bytes: Positive
    answer_bytes: Positive
    connect_timeout_ms: Positive
    drain_timeout_ms: Positive


class WatchingSettings(_Section):
    """Bandwidth budgets of probes, gossip and configuration."""

    node_bytes_per_s: Positive
    region_bytes_per_s: Positive


class StatsdSettings(_Section):
    """Destination of metrics."""

    host: Ipv4Address
    port: Annotated[int, Field(gt=0, lt=65536)]
    prefix: str
    interval_ms: Positive


class TracingSettings(_Section):
    """Sampling and export of traces."""

    sample_ratio: Annotated[float, Field(ge=0, le=1)]
    exporter: Exporter


class LoggingSettings(_Section):
    """Level and format of log lines."""

    level: LogLevel
    json_lines: bool = Field(alias="json")


class AdminSettings(_Section):
    """Authorization of administration requests that change state."""

    token: Annotated[str, Field(min_length=1)] | None


class Settings(_Section):
    """All settings of a node."""

    node: NodeSettings
    addresses: AddressSettings
    server: ServerSettings
    platform: PlatformSettings
    limits: LimitSettings
    watching: WatchingSettings
    statsd: StatsdSettings
    tracing: TracingSettings
    logging: LoggingSettings
    admin: AdminSettings


@dataclass(frozen=True, slots=True)
class SettingsError:
    """An error in a settings file; ``str()`` gives the message with file and line."""

    file: str
    line: int
    message: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.message}"


def load_settings(path: Path) -> Settings | list[SettingsError]:
    """Load and validate a settings file.

    Returns
    -------
    Settings or list of SettingsError
        The settings, or all errors in the order of their lines.
    """
    try:
        text = path.read_bytes().decode("utf-8-sig")
    except OSError as error:
        return [SettingsError(str(path), 1, f"cannot be read: {error.strerror}")]
    except UnicodeDecodeError:
        return [SettingsError(str(path), 1, "is not UTF-8 text")]
    try:
        overrides = YAML().load(text)
    except MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        return [SettingsError(str(path), line, f"is not valid YAML: {error.problem}")]
    except YAMLError as error:
        return [SettingsError(str(path), 1, f"is not valid YAML: {error}")]
    if overrides is None:
        overrides = CommentedMap()
    if not isinstance(overrides, CommentedMap):
        return [SettingsError(str(path), 1, "is not a mapping of sections")]
    return _validate(str(path), overrides)


def _validate(file: str, overrides: CommentedMap) -> Settings | list[SettingsError]:
    try:
        return Settings.model_validate(_merge(_load_defaults(), overrides))
    except ValidationError as error:
        errors = [
            SettingsError(file, _find_line(overrides, detail["loc"]), _describe(detail))
            for detail in error.errors()
        ]
        return sorted(errors, key=lambda error: error.line)


def _load_defaults() -> dict[str, Any]:
    text = resources.files("ragwort_node").joinpath("defaults.yaml").read_text("utf-8")
    return YAML(typ="safe").load(text)


def _merge(defaults: dict[str, Any], overrides: dict[str, Any]) -> dict[str, Any]:
    merged = dict(defaults)
    for key, value in overrides.items():
        if isinstance(merged.get(key), dict) and isinstance(value, dict):
            merged[key] = _merge(merged[key], value)
        else:
            merged[key] = value
    return merged


def _find_line(overrides: CommentedMap, location: tuple[str | int, ...]) -> int:
    """Return the line of the deepest part of a location that is present in the file."""
    line = 1
    for key, mapping in _walk(overrides, location):
        line = mapping.lc.key(key)[0] + 1
    return line


def _walk(
    overrides: CommentedMap, location: tuple[str | int, ...]
) -> Iterator[tuple[str | int, CommentedMap]]:
    mapping: Any = overrides
    for key in location:
        if not isinstance(mapping, CommentedMap) or key not in mapping:
            return
        yield key, mapping
        mapping = mapping[key]


def _describe(detail: Any) -> str:
    name = ".".join(str(part) for part in detail["loc"])
    if detail["type"] == "extra_forbidden":
        return f"{name} is not a setting, expected one that SETTINGS.md lists"
    if detail["input"] is None:
        return f"{name} is missing, expected a value"
    message = detail["msg"][0].lower() + detail["msg"][1:]
    return f"{name} is {detail['input']!r}: {message.removeprefix('value error, ')}"
