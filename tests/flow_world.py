"""Time-stepped simulation of calls to servers with varying speed.

The servers behave like the users': noisy neighbours slow each one down fivefold for a quarter of
the time, redrawn every 150 ms, and it slows down further when nearly all slots are taken. A call
keeps the speed at which it started. Load reports reach the entry node every 50 ms.
"""

import itertools
import random
from dataclasses import dataclass, field

from ragwort_common import CallId, NodeId
from ragwort_flow import (
    Distance,
    Offer,
    Target,
    TurnState,
    Verdict,
    choose_target,
    end_call,
    note_slowdown,
    offer_call,
    record_sent,
    report_load,
    review_waiting,
    set_server,
    take_report,
    wants_speed,
)

STEP_S = 0.002
REPORT_S = 0.05
SLOTS = 13


@dataclass
class Kind:
    """A class of calls, with its arrival rate per second."""

    name: str
    work_s: float
    objective_s: float
    deadline_s: float
    rank: int
    per_s: float


@dataclass
class Run:
    """A call sent to a server."""

    kind: Kind
    arrived: float
    left_s: float
    speed: float = 0.0


@dataclass
class Server:
    """The actual state of a server, and the state of its scheduler."""

    name: str
    slowdown: float = 1.0
    until: float = 0.0
    calls: dict[int, Run] = field(default_factory=dict)
    running: list[int] = field(default_factory=list)
    queue: list[int] = field(default_factory=list)
    state: TurnState = field(default_factory=TurnState)

    def get_speed(self):
        full = max(0.0, len(self.running) / SLOTS - 0.8) / 0.2
        return 1.0 / (self.slowdown * (1.0 + 0.7 * full))


@dataclass
class Result:
    """Calls by kind: all, those within the objective, and those within the deadline."""

    asked: dict[str, int] = field(default_factory=dict)
    in_time: dict[str, int] = field(default_factory=dict)
    served: dict[str, int] = field(default_factory=dict)
    windows: dict[int, list[int]] = field(default_factory=dict)

    def get_share(self, name=None):
        names = [name] if name else list(self.asked)
        return sum(self.in_time.get(n, 0) for n in names) / sum(self.asked[n] for n in names)

    def get_served(self, name):
        return self.served.get(name, 0) / self.asked[name]

    def get_worst_window(self):
        return min(in_time / asked for asked, in_time in self.windows.values() if asked > 30)


class World:
    """A service of several servers, and the entry node that sends them calls."""

    def __init__(self, kinds, servers, seed):
        self.kinds = kinds
        self.random = random.Random(seed)
        self.servers = [Server(f"s{index}") for index in range(servers)]
        self.now = 0.0
        self.ids = itertools.count(1)
        self.result = Result()
        for server in self.servers:
            set_server(server.state, 0.0, SLOTS, 0.0)

    def play(self, send, finish, seconds):
        """Simulate a period; ``send`` places a new call, ``finish`` handles a completed one."""
        while self.now < seconds:
            self.now += STEP_S
            for server in self.servers:
                self.shift(server)
                self.work(server, finish)
            for kind in self.kinds:
                if self.random.random() < kind.per_s * STEP_S:
                    work_s = kind.work_s * self.random.uniform(0.6, 1.4)
                    run = Run(kind, self.now, work_s)
                    self.count(self.result.asked, run, 0)
                    send(run)
        return self.result

    def shift(self, server):
        if self.now >= server.until:
            server.slowdown = 5.0 if self.random.random() < 0.25 else 1.0
            server.until = self.now + 0.15

    def work(self, server, finish):
        done = []
        for number in server.running:
            run = server.calls[number]
            run.speed = run.speed or server.get_speed()
            run.left_s -= STEP_S * run.speed
            if run.left_s <= 0 or self.now > run.arrived + run.kind.deadline_s:
                done.append(number)
        for number in done:
            server.running.remove(number)
            run = server.calls.pop(number)
            took_s = self.now - run.arrived
            if took_s <= run.kind.deadline_s:
                self.count(self.result.served, run)
            if took_s <= run.kind.objective_s:
                self.count(self.result.in_time, run, 1)
            finish(server, number, took_s <= run.kind.deadline_s)

    def count(self, table, run, index=None):
        table[run.kind.name] = table.get(run.kind.name, 0) + 1
        if index is not None:
            window = self.result.windows.setdefault(int(run.arrived // 2), [0, 0])
            window[index] += 1


def play_ragwort(kinds, servers, seed, seconds, tells_speed=True):
    """Simulate the package's decisions, optionally without reports of the hosts' speed."""
    world = World(kinds, servers, seed)
    targets = [Target(NodeId(server.name), Distance.SAME_REGION) for server in world.servers]
    by_name = {server.name: server for server in world.servers}
    told = {"at": -1.0}

    def start(server, numbers):
        server.running += numbers

    def ask(server):
        if wants_speed(server.state, world.now):
            note_slowdown(server.state, world.now, server.slowdown)
            start(server, review_waiting(server.state, world.now).started)

    def tell():
        if world.now - told["at"] >= REPORT_S:
            told["at"] = world.now
            for target in targets:
                state = by_name[target.node].state
                take_report(target, world.now, report_load(state, world.now))
                turns = review_waiting(state, world.now)
                for number, _ in turns.refused:
                    by_name[target.node].calls.pop(number)
                start(by_name[target.node], turns.started)
                ask(by_name[target.node])

    def send(run):
        tell()
        tried = set()
        for _ in range(2):
            left_s = run.arrived + run.kind.objective_s - world.now
            placement = choose_target(
                targets, world.now, world.random, tried, run.kind.work_s, left_s
            )
            target = placement.target
            tried.add(target.node)
            record_sent(target, world.now)
            server = by_name[target.node]
            number = next(world.ids)
            offer = Offer(
                CallId(number),
                run.kind.name,
                run.kind.rank,
                run.arrived + run.kind.objective_s,
                run.arrived + run.kind.deadline_s,
                run.kind.work_s,
            )
            decision = offer_call(server.state, world.now, offer)
            if decision.verdict is not Verdict.REFUSED:
                server.calls[number] = run
                if decision.verdict is Verdict.RUN:
                    start(server, [number])
                ask(server)
                return
            take_report(target, world.now, report_load(server.state, world.now))

    def finish(server, number, succeeded):
        if tells_speed:
            note_slowdown(server.state, world.now, server.slowdown)
        start(server, end_call(server.state, world.now, CallId(number), succeeded).started)

    return world.play(send, finish, seconds)


def play_baseline(kinds, servers, seed, seconds, choose):
    """Simulate FIFO queues at servers that ``choose`` picks from stale loads."""
    world = World(kinds, servers, seed)
    loads = {server.name: 0 for server in world.servers}
    told = {"at": -1.0}

    def send(run):
        if world.now - told["at"] >= REPORT_S:
            told["at"] = world.now
            for server in world.servers:
                loads[server.name] = len(server.calls)
        server = choose(world, loads)
        number = next(world.ids)
        server.calls[number] = run
        if len(server.running) < SLOTS:
            server.running.append(number)
        elif len(server.queue) < 2 * SLOTS:
            server.queue.append(number)
        else:
            server.calls.pop(number)

    def finish(server, number, succeeded):
        while server.queue and len(server.running) < SLOTS:
            server.running.append(server.queue.pop(0))

    return world.play(send, finish, seconds)


def choose_randomly(world, loads):
    """Choose a server at random."""
    return world.random.choice(world.servers)


def choose_least(world, loads):
    """Choose the server with the lowest reported load."""
    return min(world.servers, key=lambda server: (loads[server.name], world.random.random()))
