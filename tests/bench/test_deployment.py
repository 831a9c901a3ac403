"""Ports of a deployment that are chosen before its processes bind them."""

import itertools
import socket

from bench import deployment


class ChosenPorts:
    """Source of random numbers that proposes given ports in turn."""

    def __init__(self, ports):
        self._ports = itertools.cycle(ports)

    def randrange(self, first, end):
        return next(self._ports)


def test_ports_are_outside_the_range_of_outgoing_connections():
    first_ephemeral = int(deployment.EPHEMERAL_PORTS.read_text().split()[0])
    ports = deployment.find_free_ports(50)
    assert len(set(ports)) == 50
    assert all(port < first_ephemeral for port in ports)


def test_port_that_another_deployment_has_chosen_is_not_chosen_again(monkeypatch):
    chosen, free = deployment.find_free_ports(2)
    deployment._reservations.pop().close()
    monkeypatch.setattr(deployment, "_random", ChosenPorts([chosen, free]))
    assert deployment.find_free_ports(1) == [free]


def test_port_in_use_is_not_chosen(monkeypatch):
    used, free = deployment.find_free_ports(2)
    while deployment._reservations:
        deployment._reservations.pop().close()
    monkeypatch.setattr(deployment, "_random", ChosenPorts([used, free]))
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", used))
        sock.listen()
        assert deployment.find_free_ports(1) == [free]
