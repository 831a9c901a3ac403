"""Time-stepped simulation of calls to servers with varying speed.

The servers behave like the users': noisy neighbours slow each one down for parts of a second, and
it slows down further when nearly all slots are taken. A call keeps the speed at which it started.
Load reports reach the entry node every 50 ms.
"""

import itertools
import random
from dataclasses import dataclass, field

from ragwort_common import CallId, NodeId
from ragwort_flow import (
    Distance,
    PendingCall,
    SchedulerState,
    Target,
    Verdict,
    admit_call,
    build_load_report,
    choose_target,
    complete_call,
    needs_probe,
    record_reported_slowdown,
    record_sent,
    review_waiting,
    update_report,
    update_server,
)

STEP_S = 0.002
REPORT_S = 0.05
MAX_MOVES = 2


@dataclass(frozen=True)
class Hosts:
    """What the hosts are like: slowed down by neighbours, redrawn for each, at an interval.

    ``full_slowdown`` is that of a server whose slots are all taken.
    """

    slots: int = 13
    slowdown: float = 5.0
    share: float = 0.25
    redrawn_s: float = 0.15
    full_slowdown: float = 1.7


@dataclass
class Kind:
    """A class of calls, with its arrival rate per second; those of a customer count by its name."""

    name: str
    work_s: float
    objective_s: float
    deadline_s: float
    rank: int
    per_s: float
    burst_s: float = 0.0
    customer: str | None = None

    def get_rate(self, now):
        """Return the current arrival rate; with bursts, all calls arrive in a third of the time."""
        if not self.burst_s:
            return self.per_s
        return 3 * self.per_s if now % (3 * self.burst_s) < self.burst_s else 0.0


@dataclass
class SimulatedCall:
    """A call at a server, with its remaining work."""

    kind: Kind
    arrived: float
    left_s: float
    speed: float = 0.0
    tried: set = field(default_factory=set)


@dataclass
class Server:
    """The actual state of a server, and the state of its scheduler."""

    name: str
    hosts: Hosts
    slowdown: float = 1.0
    slowdown_until: float = 0.0
    calls: dict[int, SimulatedCall] = field(default_factory=dict)
    running: list[int] = field(default_factory=list)
    queue: list[int] = field(default_factory=list)
    state: SchedulerState = field(default_factory=SchedulerState)

    def get_speed(self):
        full = max(0.0, len(self.running) / self.hosts.slots - 0.8) / 0.2
        return 1.0 / (self.slowdown * (1.0 + (self.hosts.full_slowdown - 1.0) * full))


@dataclass
class Result:
    """Calls by kind: all, those within the objective, and those within the deadline."""

    offered: dict[str, int] = field(default_factory=dict)
    in_time: dict[str, int] = field(default_factory=dict)
    served: dict[str, int] = field(default_factory=dict)
    windows: dict[int, list[int]] = field(default_factory=dict)

    def get_in_time_ratio(self, name=None):
        names = [name] if name else list(self.offered)
        return sum(self.in_time.get(n, 0) for n in names) / sum(self.offered[n] for n in names)

    def get_served_ratio(self, name):
        return self.served.get(name, 0) / self.offered[name]

    def get_worst_window_ratio(self):
        return min(in_time / offered for offered, in_time in self.windows.values() if offered > 30)


class Simulation:
    """A service of several servers, and the entry node that sends them calls."""

    def __init__(self, kinds, servers, seed, hosts):
        self.kinds = kinds
        self.random = random.Random(seed)
        self.servers = [Server(f"s{index}", hosts) for index in range(servers)]
        self.hosts = hosts
        self.now = 0.0
        self.ids = itertools.count(1)
        self.result = Result()
        for server in self.servers:
            update_server(server.state, 0.0, hosts.slots, 0.0)

    def run(self, send, finish, seconds):
        """Simulate a period; ``send`` places a new call, ``finish`` handles a completed one."""
        while self.now < seconds:
            self.now += STEP_S
            for server in self.servers:
                self.update_slowdown(server)
                self.advance_calls(server, finish)
            for kind in self.kinds:
                if self.random.random() < kind.get_rate(self.now) * STEP_S:
                    work_s = kind.work_s * self.random.uniform(0.6, 1.4)
                    call = SimulatedCall(kind, self.now, work_s)
                    self.count_call(self.result.offered, call, 0)
                    send(call)
        return self.result

    def update_slowdown(self, server):
        if self.now >= server.slowdown_until:
            is_slowed = self.random.random() < self.hosts.share
            server.slowdown = self.hosts.slowdown if is_slowed else 1.0
            server.slowdown_until = self.now + self.hosts.redrawn_s

    def advance_calls(self, server, finish):
        done = []
        for number in server.running:
            call = server.calls[number]
            call.speed = call.speed or server.get_speed()
            call.left_s -= STEP_S * call.speed
            if call.left_s <= 0 or self.now > call.arrived + call.kind.deadline_s:
                done.append(number)
        for number in done:
            server.running.remove(number)
            call = server.calls.pop(number)
            took_s = self.now - call.arrived
            if took_s <= call.kind.deadline_s:
                self.count_call(self.result.served, call)
            if took_s <= call.kind.objective_s:
                self.count_call(self.result.in_time, call, 1)
            finish(server, number, took_s <= call.kind.deadline_s)

    def count_call(self, table, call, index=None):
        name = call.kind.customer or call.kind.name
        table[name] = table.get(name, 0) + 1
        if index is not None:
            window = self.result.windows.setdefault(int(call.arrived // 2), [0, 0])
            window[index] += 1


def simulate_ragwort(
    kinds,
    servers,
    seed,
    seconds,
    reports_slowdown=True,
    gives_back=True,
    hosts=Hosts(),  # noqa: B008
    prepare=None,
):
    """Simulate the package's decisions, optionally without some of them.

    ``prepare`` is called with the state of each scheduler before the first call.
    """
    simulation = Simulation(kinds, servers, seed, hosts)
    for server in simulation.servers if prepare else ():
        prepare(server.state)
    targets = [Target(NodeId(server.name), Distance.SAME_REGION) for server in simulation.servers]
    by_name = {server.name: server for server in simulation.servers}
    last_report = {"at": -1.0}

    def start(server, numbers):
        server.running += numbers

    def probe(server):
        if needs_probe(server.state, simulation.now):
            record_reported_slowdown(server.state, simulation.now, server.slowdown)
            result = review_waiting(server.state, simulation.now)
            start(server, result.started)
            give_back(server, result)

    def send_reports():
        if simulation.now - last_report["at"] >= REPORT_S:
            last_report["at"] = simulation.now
            for target in targets:
                state = by_name[target.node].state
                update_report(target, simulation.now, build_load_report(state, simulation.now))
                result = review_waiting(state, simulation.now)
                start(by_name[target.node], result.started)
                give_back(by_name[target.node], result)
                probe(by_name[target.node])

    def give_back(server, result):
        for number, _ in result.refused:
            call = server.calls.pop(number)
            if simulation.now < call.arrived + call.kind.deadline_s:
                place(call)

    def send(call):
        send_reports()
        place(call)

    def place(call):
        while len(call.tried) <= MAX_MOVES:
            left_s = call.arrived + call.kind.objective_s - simulation.now
            placement = choose_target(
                targets, simulation.now, simulation.random, call.tried, call.kind.work_s, left_s
            )
            if placement is None:
                return
            target = placement.target
            call.tried.add(target.node)
            record_sent(target, simulation.now)
            server = by_name[target.node]
            number = next(simulation.ids)
            pending = PendingCall(
                CallId(number),
                call.kind.name,
                call.kind.rank,
                call.arrived + call.kind.objective_s,
                call.arrived + call.kind.deadline_s,
                call.kind.work_s,
                gives_back and placement.has_alternative and len(call.tried) <= MAX_MOVES,
                call.kind.customer,
            )
            decision = admit_call(server.state, simulation.now, pending)
            if decision.verdict is not Verdict.REFUSED:
                server.calls[number] = call
                if decision.verdict is Verdict.RUN:
                    start(server, [number])
                probe(server)
                return
            update_report(target, simulation.now, build_load_report(server.state, simulation.now))

    def finish(server, number, succeeded):
        if reports_slowdown:
            record_reported_slowdown(server.state, simulation.now, server.slowdown)
        start(
            server, complete_call(server.state, simulation.now, CallId(number), succeeded).started
        )

    return simulation.run(send, finish, seconds)


def simulate_baseline(kinds, servers, seed, seconds, choose, hosts=Hosts()):  # noqa: B008
    """Simulate FIFO queues at servers that ``choose`` picks from stale loads."""
    simulation = Simulation(kinds, servers, seed, hosts)
    loads = {server.name: 0 for server in simulation.servers}
    last_report = {"at": -1.0}

    def send(call):
        if simulation.now - last_report["at"] >= REPORT_S:
            last_report["at"] = simulation.now
            for server in simulation.servers:
                loads[server.name] = len(server.calls)
        server = choose(simulation, loads)
        number = next(simulation.ids)
        server.calls[number] = call
        if len(server.running) < hosts.slots:
            server.running.append(number)
        elif len(server.queue) < 2 * hosts.slots:
            server.queue.append(number)
        else:
            server.calls.pop(number)

    def finish(server, number, succeeded):
        while server.queue and len(server.running) < hosts.slots:
            server.running.append(server.queue.pop(0))

    return simulation.run(send, finish, seconds)


def choose_randomly(simulation, loads):
    """Choose a server at random."""
    return simulation.random.choice(simulation.servers)


def choose_least_loaded(simulation, loads):
    """Choose the server with the lowest reported load."""
    return min(
        simulation.servers, key=lambda server: (loads[server.name], simulation.random.random())
    )
