import asyncio
import json
from typing import Any

import pytest
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.testing import bind_unused_port

from marjoramgrade.actor import Actor
from marjoramgrade.adapters.httpfront import HttpServerState, make_server
from marjoramgrade.clock import SystemClock
from marjoramgrade.filters.chain import Filter, FilterChain, Proceed
from marjoramgrade.filters.context import RequestContext
from marjoramgrade.messages.jobs import ListJobs
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.stopping import Stopping

MAX_BODY_BYTES = 1_000


class EmptyFilter(Filter):
    @classmethod
    def from_config(cls, environment: Any) -> "EmptyFilter":
        return cls()

    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        assert isinstance(context.message, ListJobs)
        return ()


async def _exchange(requests: list[bytes]) -> tuple[list[bytes], MemoryMetrics]:
    """Send each raw request on its own connection; return responses and metrics."""
    metrics = MemoryMetrics()
    chain = FilterChain([EmptyFilter()], metrics)
    state = HttpServerState(chain, Actor(), SystemClock(), metrics, MAX_BODY_BYTES)
    server = make_server(state, MAX_BODY_BYTES)
    socket, port = bind_unused_port()
    server.add_socket(socket)
    responses = []
    for request in requests:
        stream = await TCPClient().connect("127.0.0.1", port)
        try:
            await stream.write(request)
            responses.append(await asyncio.wait_for(stream.read_until_close(), 5))
        except StreamClosedError:
            responses.append(b"")
    server.stop()
    await server.close_all_connections()
    return responses, metrics


def _request(line: str, *headers: str, body: bytes = b"") -> bytes:
    lines = [f"{line} HTTP/1.1", "Host: a", "Connection: close", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


@pytest.mark.parametrize(
    ("request_bytes", "status", "code"),
    [
        (_request("POST /v1/jobs", body=b"{"), 400, "invalid_input"),
        (_request("POST /v1/jobs", body=b'{"spec": 1}'), 400, "invalid_input"),
        (
            _request("POST /v1/jobs", body=b"[" * 400 + b"]" * 400),
            413,
            "oversized_input",
        ),
        (_request("POST /v1/jobs", body=b"1" * 1_500), 413, "oversized_input"),
        (_request("GET /v1/jobs", "Deadline-Ms: soon"), 400, "invalid_input"),
        (_request("DELETE /v1/zones/a", "If-Match: x"), 400, "invalid_input"),
        (_request("POST /v1/run/a", "Idempotent: maybe"), 400, "invalid_input"),
        (_request("PATCH /v1/jobs"), 405, "invalid_input"),
        (_request("GET /nowhere"), 404, "invalid_input"),
    ],
)
def test_bad_input_gets_a_typed_answer(
    request_bytes: bytes, status: int, code: str
) -> None:
    """Guards against error responses without a code, and against a crash."""
    valid = _request("GET /v1/jobs")
    responses, _ = asyncio.run(_exchange([request_bytes, valid]))
    head, _, body = responses[0].partition(b"\r\n\r\n")
    assert int(head.split()[1]) == status
    assert json.loads(body)["error"]["code"] == code
    assert responses[1].startswith(b"HTTP/1.1 200")


def test_hostile_bytes_end_only_their_connection() -> None:
    """Guards against one client that stops the instance for all others."""
    malformed_requests = [
        b"\x00\xff" * 100 + b"\r\n\r\n",
        _request("POST /v1/jobs", "Content-Length: 99999999"),
        _request("GET /v1/jobs", "A: " + "b" * 20_000),
        _request("GET /v1/jobs", "Transfer-Encoding: strange"),
    ]
    responses, _ = asyncio.run(
        _exchange([*malformed_requests, _request("GET /v1/jobs")])
    )
    assert all(not answer.startswith(b"HTTP/1.1 200") for answer in responses[:3])
    assert responses[-1].startswith(b"HTTP/1.1 200")


def test_refusals_before_the_chain_are_counted() -> None:
    """Guards against refused requests that are missing from the metrics."""
    _, metrics = asyncio.run(_exchange([_request("POST /v1/jobs", body=b"{")]))
    assert metrics.count_by_name["refused.invalid_input"] == 1


class EndlessFilter(EmptyFilter):
    async def apply(self, context: RequestContext, proceed: Proceed) -> Any:
        await asyncio.Event().wait()


@pytest.mark.parametrize(
    ("line", "status", "ran"),
    [
        ("GET /v1/jobs", 503, "no"),
        ("GET /v1/watch", 503, "no"),
        ("DELETE /v1/jobs/a", 502, "unknown"),
        ("POST /v1/run/a", 502, "unknown"),
    ],
)
def test_a_stop_ends_every_wait_with_a_true_answer(
    line: str, status: int, ran: str
) -> None:
    """Guards against waits without an end, and changes reported as not run."""

    async def run() -> bytes:
        metrics, stopping = MemoryMetrics(), Stopping()
        chain = FilterChain([EndlessFilter()], metrics)
        state = HttpServerState(
            chain, Actor(), SystemClock(), metrics, MAX_BODY_BYTES, stopping=stopping
        )
        server = make_server(state, MAX_BODY_BYTES)
        socket, port = bind_unused_port()
        server.add_socket(socket)
        stream = await TCPClient().connect("127.0.0.1", port)
        await stream.write(_request(line))
        asyncio.get_running_loop().call_later(0.1, stopping.end_now)
        answer = await asyncio.wait_for(stream.read_until_close(), 5)
        server.stop()
        await server.close_all_connections()
        return answer

    head = asyncio.run(run()).partition(b"\r\n\r\n")[0].decode()
    assert head.split()[1] == str(status)
    assert f"Ran: {ran}" in head.split("\r\n")
