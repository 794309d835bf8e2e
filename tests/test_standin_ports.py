"""Tests of the ports that the cells of tests pick."""

from __future__ import annotations

import itertools
import pathlib
import socket

import pytest

from standins import cell, processes
from standins.processes import HOST, PortPicker, free_port

EPHEMERAL_RANGE = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range")


@pytest.mark.skipif(not EPHEMERAL_RANGE.exists(), reason="needs Linux")
def test_ports_of_cells_are_not_ephemeral():
    # Guards against a stand-in that cannot listen because another process connected
    # from its port (seen once: the backend servers of a cell beside the users' bench).
    first = int(EPHEMERAL_RANGE.read_text(encoding="utf-8").split()[0])
    assert all(free_port() < first for _ in range(50))


def test_port_that_is_listened_on_is_not_picked():
    picker = PortPicker()
    picked = [picker.pick() for _ in range(50)]
    assert len(set(picked)) == 50
    with socket.socket() as listening:
        listening.bind((HOST, picked[0]))
        listening.listen()
        assert free_port() != picked[0]


def test_ports_of_one_cell_differ_before_anything_listens(monkeypatch, tmp_path):
    # Guards against a stand-in that cannot listen because the platform of its own cell,
    # which had started but did not listen yet, had the same port (seen once in CI).
    probed = itertools.cycle([port for port in range(20_000, 20_060) for _ in "ab"])
    monkeypatch.setattr(processes, "free_port", lambda _host=HOST: next(probed))
    planned = cell.Cell(tmp_path)
    planned.plan()
    routes = processes.iter_relay_routes(planned.instances, planned.ports)
    ports = [
        planned.platform_port,
        *(instance["port"] for instance in planned.instances),
        *(route["listen_port"] for route in routes),
    ]
    assert len(set(ports)) == len(ports) > 10
