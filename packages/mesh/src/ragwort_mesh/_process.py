"""Runs a node until its process is told to stop."""

import asyncio
import logging
import signal

from ragwort_model import NodeSettings

from ragwort_mesh._events import EventHandler, EventLog
from ragwort_mesh._node import Node
from ragwort_mesh._reload import LoadSettings
from ragwort_mesh._telemetry import Telemetry


async def run_node(
    settings: NodeSettings, load: LoadSettings, metrics_address: str, metrics_path: str
) -> str:
    """Run a node until SIGTERM or SIGINT; return an error message if it could not start.

    Parameters
    ----------
    load
        Reads the settings file again; called on SIGHUP and by the poll.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    events = EventLog(settings.node)
    events.start()
    logging.basicConfig(level=logging.INFO, handlers=[EventHandler(events)], force=True)
    node = Node(settings, Telemetry(events), metrics_address, metrics_path)
    try:
        await node.start()
    except OSError as error:
        return str(error)
    watch = node.follow_settings(load)
    loop.add_signal_handler(signal.SIGHUP, watch.reload, "SIGHUP")
    await stopped.wait()
    await node.stop()
    events.stop()
    return ""
