"""Reloads the settings file on a signal, and polls it for changes made without one."""

import asyncio
from collections.abc import Callable
from dataclasses import fields

from ragwort_model import InputError, NodeSettings

from ragwort_mesh._telemetry import Telemetry

POLL_INTERVAL_S = 1.0
"""How often the file is read again; it is only a few kilobytes."""

RELOADABLE = frozenset({"bounds"})
"""Settings that take effect immediately; changes of others are logged as needing a restart."""

LoadSettings = Callable[[], NodeSettings | InputError]


class SettingsWatch:
    """Holds the active settings and reloads them.

    Parameters
    ----------
    load
        Reads the settings file.
    apply
        Applies changed settings.
    """

    def __init__(
        self,
        settings: NodeSettings,
        load: LoadSettings,
        apply: Callable[[NodeSettings], None],
        telemetry: Telemetry,
    ) -> None:
        self._settings = settings
        self._load = load
        self._apply = apply
        self._telemetry = telemetry
        self._last_error = ""

    async def run(self) -> None:
        """Poll the file until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            self.reload("poll")

    def reload(self, cause: str) -> None:
        """Read the file and apply the changes; an invalid file changes nothing."""
        loaded = self._load()
        if isinstance(loaded, InputError):
            if str(loaded) != self._last_error:
                self._last_error = str(loaded)
                self._telemetry.events.write("settings-unreadable", mistake=self._last_error)
            return
        self._last_error = ""
        changed = [
            field.name
            for field in fields(NodeSettings)
            if getattr(loaded, field.name) != getattr(self._settings, field.name)
        ]
        if not changed and cause == "poll":
            return
        self._settings = loaded
        self._apply(loaded)
        self._telemetry.events.write(
            "reload", cause=cause, changed=changed, need_start=sorted(set(changed) - RELOADABLE)
        )
