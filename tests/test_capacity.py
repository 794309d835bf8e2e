"""Tests of the line fit and the probes of the capacity measurement."""

import os
import socket

import pytest

from bench.capacity import fit
from bench.probes import bytes_by_kind, connections, memory, processor_ms
from bench.relay import classify
from bench.rig import Reading


def test_fit_finds_the_line_through_the_readings() -> None:
    """Guards against wrong slopes on the capacity page."""
    readings = [Reading("x", n, {"cost": 3 + 2 * n}) for n in (0, 5, 20)]
    (line,) = fit(readings)
    assert (line.base, line.slope) == (pytest.approx(3), pytest.approx(2))


def test_requests_are_told_apart_by_what_they_read() -> None:
    """Guards against bytes counted for the wrong instance or kind of request."""
    rows = b"GET /v1/rows?prefix=jobs%2F&after=3 HTTP/1.1\r\nInstance: a\r\n\r\n"
    listed = b"GET /v1/instances HTTP/1.1\r\nHost: x\r\ninstance: b\r\n\r\n"
    assert classify(rows) == ("a", "jobs")
    assert classify(listed) == ("b", "instances")
    assert classify(b"") == ("", "other")


def test_bytes_of_an_open_connection_are_read_from_the_kernel() -> None:
    """Guards against reading a counter at the wrong offset of the kernel's response."""
    pid = os.getpid()
    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        with socket.create_connection(("127.0.0.1", port)) as client:
            accepted, _ = server.accept()
            with accepted:
                before = connections(pid)
                client.sendall(bytes(1_000))
                assert len(accepted.recv(1_000, socket.MSG_WAITALL)) == 1_000
                after = connections(pid)
    received = bytes_by_kind(
        before, after, lambda c: "in" if c.local_port == port else "out"
    )
    assert received["in"] == 1_000


def test_memory_and_processor_time_are_those_of_the_process() -> None:
    """Guards against zero values because a field of the kernel has another name."""
    usage = memory(os.getpid())
    assert 0 < usage.private <= usage.whole
    assert processor_ms(os.getpid()) > 0
