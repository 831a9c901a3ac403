"""Reports at the control address, from the server on this host and from other writers."""

import asyncio
import json

import pytest
from mesh_gate import HEARTBEAT, make_gate
from ragwort_common import Counters
from ragwort_mesh._control import build_report_handler
from ragwort_mesh._events import EventLog
from ragwort_mesh._telemetry import Telemetry
from ragwort_transport import HttpRequest

CONTENT = {
    "service": HEARTBEAT.service,
    "addr": HEARTBEAT.address,
    "slots": 4,
    "state": "ready",
    "seq": 2,
    "born": 2,
}


class Control:
    """The handler of reports, its gate, and its counters."""

    def __init__(self, **options):
        self.gate = make_gate(**options)
        self.counters = Counters()
        telemetry = Telemetry(EventLog("n"), self.counters)
        self._handle = build_report_handler(self.gate, HEARTBEAT.service, telemetry, self.keep)

    async def keep(self):
        """Keep nothing beyond the process."""

    async def send(self, instance, method="PUT", **changes):
        body = json.dumps({**CONTENT, **changes}).encode()
        target = b"/-/instances/" + instance.encode()
        return (await self._handle(HttpRequest(method, target, [], body))).status


@pytest.mark.parametrize("instance", ["i", "i-other"])
def test_heartbeat_of_an_unknown_service_names_no_server_to_use(instance):
    # Another writer's heartbeat took the place of the server's own ones.
    async def scenario():
        control = Control()
        before = control.gate._server.current
        assert await control.send(instance, service="no-such-service", seq=9, born=9) == 400
        assert control.gate._server.current == before
        assert control.counters.totals["control.foreign_reports"] == 1
        assert await control.send("i", seq=2, born=1, state="draining") == 200
        assert not control.gate.accepting

    asyncio.run(scenario())


def test_new_server_is_used_from_its_first_report_beside_those_of_another_writer():
    async def scenario():
        control = Control(reported=False)
        assert await control.send("i-other", service="no-such-service", seq=1) == 400
        assert not control.gate.accepting
        assert await control.send("i-new", seq=1) == 200
        assert control.gate.accepting
        assert control.gate.make_report().limit >= 1

    asyncio.run(scenario())
