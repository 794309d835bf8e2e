"""Tests of the translation between the users' platform and the scheduler."""

from __future__ import annotations

import asyncio
import contextlib
import io
import pathlib
import re
import socket

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade import errors, logs
from marjoramgrade.adapters.httppool import HttpResponse
from marjoramgrade.adapters.intake import Intake
from marjoramgrade.clock import ManualClock, SystemClock
from marjoramgrade.errors import (
    InvalidInputError,
    JobNotFoundError,
    MarjoramgradeError,
    NoLeaderError,
    OutcomeUnknownError,
    OverloadedError,
    QueueNotFoundError,
    SettingsError,
    TableUnavailableError,
    UnauthenticatedError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.filters.chain import Filter, FilterChain
from marjoramgrade.messages.rows import (
    CommitRows,
    ReadRows,
    RowId,
    RowWrite,
    WatchRows,
)
from marjoramgrade.messages.steps import PendingCount, StepJobShown
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.platform import frontend
from marjoramgrade.platform.configuration import parse_config
from marjoramgrade.platform.frontend import (
    ClientFrontend,
    parse_job,
    serialize_response,
    status_of,
)
from marjoramgrade.platform.settings import read_settings
from marjoramgrade.platform.store import StoreClient
from marjoramgrade.platform.workers import (
    parse_listing,
    parse_task,
    parse_worker,
    serialize_task,
)
from marjoramgrade.resources import Resources
from marjoramgrade.stepjobs import RunEndStatus, StepJobState, TaskRef

WORKER_ENTRY = {
    "service": "pool",
    "addr": "10.0.0.1:80",
    "zone": "north",
    "state": "ready",
    "capacity": {"cpu": 16_000, "memMb": 32_768},
    "labels": ["a", "r1"],
    "born": 5,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "A.example",
            "pathPrefix": "/x/",
            "service": "pool",
            "sloMs": 250,
            "attempts": 3,
            "stretch": 1.5,
            "advice": {"decideMs": 41.6, "periodMs": 0.37, "validMs": 2_500},
        }
    ],
    "services": [{"name": "pool", "enforcesCapacity": False}],
    "tenants": [{"name": "t", "apiKeys": ["k"], "weight": 5, "maxTasks": {"cpu": 9}}],
}


def encode(value):
    return msgspec.json.encode(value)


def test_entry_of_a_runner_is_read():
    # Guards against a capacity or rack that is decoded from the wrong field.
    worker = parse_worker("i-1", encode(WORKER_ENTRY))
    assert worker.capacity == Resources(cpu_millis=16_000, memory_mib=32_768)
    assert (worker.rack, worker.draining, worker.born_unix_ms) == ("r1", False, 5)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"addr": 7},
        {"addr": "nowhere"},
        {"zone": None},
        {"capacity": {"cpu": "many"}},
        {"capacity": []},
        {"labels": [4]},
    ],
)
def test_invalid_worker_registration_is_refused(change):
    # Guards against a crash, and against accepting a worker that does not exist, when
    # another program writes to the table of workers.
    with pytest.raises(InvalidInputError):
        parse_worker("i-1", encode({**WORKER_ENTRY, **change}))


@given(st.binary(max_size=60))
def test_bytes_that_cannot_be_read_are_a_typed_error(data):
    # Guards against an unhandled exception that ends the process when another program
    # has written a malformed row.
    for parse in (lambda d: parse_worker("i", d), parse_config, parse_job):
        try:
            parse(data)
        except InvalidInputError:
            continue


@given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.text(max_size=5),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from([*WORKER_ENTRY, *CONFIG, "steps"]), inner)
        ),
        max_leaves=12,
    )
)
def test_documents_of_another_shape_are_a_typed_error(document):
    # Guards against an unhandled exception that ends the process when fields of a JSON
    # document are missing or have the wrong type.
    data = encode(document)
    for parse in (lambda d: parse_worker("i", d), parse_config, parse_job):
        try:
            parse(data)
        except InvalidInputError:
            continue


def test_configuration_is_read():
    # Guards against limits and times that are decoded from the wrong fields.
    config = parse_config(encode(CONFIG))
    queue = config.find_queue("a.example", "/x/1")
    assert queue.advice.per_worker_ms == 0.37
    assert (queue.attempts, queue.objective_ms) == (3, 250)
    assert config.find_team("k").limit == Resources(cpu_millis=9)


def test_job_is_read():
    # Guards against a requirement of a step that is lost in decoding.
    step = {
        "count": 2,
        "cpu": 500,
        "memMb": 256,
        "estMs": 900,
        "after": [0],
        "antiAffinity": 1,
        "affinity": "r1",
        "constraints": "b",
        "speculative": True,
        "checkpoint": True,
        "mayMiss": 3,
        "targetMs": 40,
    }
    job = parse_job(encode({"spec": "s", "steps": [{"count": 1}, step], "times": 2}))
    parsed = job.steps[1]
    assert parsed.resources == Resources(cpu_millis=500, memory_mib=256)
    assert (parsed.max_per_worker, parsed.data_rack, parsed.required_label) == (
        1,
        "r1",
        "b",
    )
    assert parsed.speculative and parsed.checkpoints and not parsed.gang
    assert (parsed.max_unavailable, parsed.latency_target_ms) == (3, 40)
    assert job.occurrences == 2


def test_task_name_round_trips():
    # Guards against the end of one task being matched with the start of another.
    task = TaskRef("5c0e7a21d94b36f8", 0, 1, 17)
    assert parse_task(serialize_task(task)) == task
    for text in ("", "a.b", "a.0.1.x", None):
        with pytest.raises(InvalidInputError):
            parse_task(text)


def test_listing_is_read():
    # Guards against a run end that is decoded with the wrong status.
    name = "5c0e7a21d94b36f8.0.1.9"
    listing = parse_listing(
        {
            "born": 3,
            "clockMs": 7,
            "running": [[name, 2, "saved", 41, 12.5]],
            "ended": [[58, name, 1, "lapsed", ""]],
        }
    )
    assert listing.running[0].measurement == 12
    assert listing.ended[0].ending is RunEndStatus.LEASE_EXPIRED
    with pytest.raises(InvalidInputError):
        parse_listing({"clockMs": 1, "ended": [[1, name, 1, "vanished", ""]]})


def test_full_list_of_ends_may_be_cut():
    # Guards against taking a run for lost whose end is behind those that are listed.
    name = "00000000000000aa.0.0.0"
    ends = [[number, name, 1, "done", ""] for number in range(1, 501)]
    listing = {"born": 1, "clockMs": 1, "running": []}
    assert parse_listing({**listing, "ended": ends[:-1]}).has_all_ends
    assert not parse_listing({**listing, "ended": ends}).has_all_ends


@pytest.mark.parametrize(
    ("error", "status"),
    [
        (UnauthenticatedError, 401),
        (QueueNotFoundError, 404),
        (JobNotFoundError, 410),
        (InvalidInputError, 400),
        (OverloadedError, 429),
        (NoLeaderError, 503),
        (OutcomeUnknownError, 504),
        (MarjoramgradeError, 502),
    ],
)
def test_status_of_each_error(error, status):
    # Guards against a status that makes a client retry, or abandon, a request wrongly.
    assert status_of(error("x")) == status


def test_only_refusals_guarantee_that_nothing_runs():
    # Guards against a 429 or 503 for work whose outcome is unknown.
    for kind in errors.iter_error_types():
        if kind.ran is not errors.Ran.NO:
            error = kind.from_report("x", {})
            assert status_of(error) not in (429, 503), kind


def test_responses_use_the_names_of_the_platform():
    # Guards against a response that clients of the platform cannot decode.
    shown = serialize_response(StepJobShown(StepJobState.COMPLETED))
    assert msgspec.json.decode(shown) == {"state": "completed"}
    assert msgspec.json.decode(serialize_response(PendingCount(3))) == {"pending": 3}


class StubFilter(Filter):
    """Handles every request; refuses those to `/q/refused`."""

    @classmethod
    def from_config(cls, environment):
        return cls()

    async def apply(self, context, proceed):
        if context.message.path == "/q/refused":
            raise NoLeaderError("nobody")
        if context.message.path == "/q/unknown":
            raise OutcomeUnknownError("nobody answered")
        return StepJobShown(StepJobState.RUNNING)


def test_answer_without_a_result_tells_when_to_retry():
    # Guards against clients that retry at once or not at all, or at an instance that
    # reaches no leader, and against responses that clients cannot read.
    async def run():
        front = ClientFrontend(
            FilterChain([StubFilter()], MemoryMetrics()), SystemClock(), MemoryMetrics()
        )
        server = front.make_server()
        server.listen(0, "127.0.0.1")
        (socket,) = server._sockets.values()
        port = socket.getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        answers = []
        for path in ("/q/0011", "/q/refused", "/q/unknown"):
            if answers and "Connection: close" in answers[-1][0]:
                writer.close()
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(f"GET {path} HTTP/1.1\r\nHost: a:80\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
            answers.append((head, await reader.readexactly(length)))
        assert answers[0][0].startswith("HTTP/1.1 200")
        assert msgspec.json.decode(answers[0][1]) == {"state": "running"}
        assert answers[1][0].startswith("HTTP/1.1 503")
        assert answers[2][0].startswith("HTTP/1.1 504")
        for head, _ in answers[1:]:
            assert "Retry-After: 1" in head
            assert "Connection: close" in head
        writer.close()
        server.stop()
        await server.close_all_connections()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("retry_after_ms", "seconds"), [(0, 1), (1, 1), (4_001, 5), (10**15, 60)]
)
def test_overload_tells_in_whole_seconds_when_to_retry(retry_after_ms, seconds):
    # Guards against clients that come back before there is room, or never.
    error = OverloadedError("full", retry_after_ms=retry_after_ms)
    assert frontend.retry_after_s(error) == seconds
    assert frontend.retry_after_s(NoLeaderError("nobody")) == 1


@contextlib.asynccontextmanager
async def connected_client(served):
    """Serve with one filter, and yield the streams of a client of it."""
    front = ClientFrontend(
        FilterChain([served], MemoryMetrics()), SystemClock(), MemoryMetrics()
    )
    server = front.make_server()
    server.listen(0, "127.0.0.1")
    (listening,) = server._sockets.values()
    reader, writer = await asyncio.open_connection(*listening.getsockname())
    try:
        yield reader, writer
    finally:
        writer.close()
        server.stop()
        await server.close_all_connections()


class ConfiguredFilter(Filter):
    """Answers, or refuses, under a configuration of a known version and age."""

    @classmethod
    def from_config(cls, environment):
        return cls()

    async def apply(self, context, proceed):
        context.config_version, context.config_age_ms = 41, 2_750
        if context.message.path == "/q/gone/":
            raise QueueNotFoundError("no queue")
        return PendingCount(0)


def test_answer_tells_its_configuration_by_the_id_of_the_request():
    # Guards against answers under an older configuration that no log line explains
    # (issue 29: neither version nor age of the configuration was recorded).
    logs.flush_batches()
    stream = io.StringIO()
    logs.configure(stream)

    async def run():
        async with connected_client(ConfiguredFilter()) as (reader, writer):
            for path, request_id in (("/q/", "00aa"), ("/q/gone/", "00bb")):
                head = f"GET {path} HTTP/1.1\r\nHost: a:80\r\n"
                head += f"Request-Id: {request_id}\r\n\r\n"
                writer.write(head.encode())
                answer = (await reader.readuntil(b"\r\n\r\n")).decode()
                length = int(
                    answer.lower().split("content-length: ")[1].split("\r\n")[0]
                )
                await reader.readexactly(length)
            logs.flush_batches()

    asyncio.run(run())
    lines = [msgspec.json.decode(line) for line in stream.getvalue().splitlines()]
    (failed,) = [line for line in lines if line["event"] == "request_failed"]
    answered = " ".join(
        line["entries"] for line in lines if line["event"] == "answered"
    )
    assert answered.split() == ["00aa:200:41:2750", "00bb:404:41:2750"]
    assert (failed["request"], failed["config"], failed["config_age_ms"]) == (
        "00bb",
        41,
        2_750,
    )


class PresenceFilter(Filter):
    """Waits until the client of a request has left."""

    def __init__(self):
        self.contexts = []

    @classmethod
    def from_config(cls, environment):
        return cls()

    async def apply(self, context, proceed):
        self.contexts.append(context)
        while not context.presence.has_left:
            await asyncio.sleep(0.01)
        return StepJobShown(StepJobState.RUNNING)


def post(path):
    body = b'{"spec":"x","steps":[{"count":1,"cpu":1}]}'
    head = f"POST {path} HTTP/1.1\r\nHost: a:80\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_job_whose_client_left_before_it_was_read_is_not_served():
    # Guards against a job that an instance accepts after a pause, although its client
    # was refused by another one meanwhile; and against a departure that is not seen.
    async def run():
        served = PresenceFilter()
        front = ClientFrontend(
            FilterChain([served], MemoryMetrics()), SystemClock(), MemoryMetrics()
        )
        server = front.make_server()
        server.listen(0, "127.0.0.1")
        (listening,) = server._sockets.values()
        address = listening.getsockname()
        # The event loop does not turn meanwhile, as in a paused process.
        with socket.create_connection(address) as gone:
            gone.sendall(post("/q/gone"))
        with socket.create_connection(address) as present:
            present.sendall(post("/q/present"))
            while not served.contexts:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            assert [c.message.path for c in served.contexts] == ["/q/present"]
            assert not served.contexts[0].presence.has_left
        async with asyncio.timeout(5):
            while not served.contexts[0].presence.has_left:
                await asyncio.sleep(0.01)
        server.stop()
        await server.close_all_connections()

    asyncio.run(run())


class FailingFilter(Filter):
    """Raises an error that is not one of the project's own."""

    @classmethod
    def from_config(cls, environment):
        return cls()

    async def apply(self, context, proceed):
        raise ValueError("a fault of the product")


@pytest.mark.parametrize(
    ("sent", "status"),
    [(b"GET /q/ HTTP/1.1\r\nHost: a:80\r\n\r\n", 502), (post("/q/7"), 504)],
)
def test_request_that_fails_unexpectedly_is_answered(sent, status):
    # Guards against a request that was read and is never answered, and whose
    # connection the end of the process closes (LOST, issue 51).
    async def run():
        async with connected_client(FailingFilter()) as (reader, writer):
            writer.write(sent)
            async with asyncio.timeout(5):
                line = await reader.readline()
            assert int(line.split()[1]) == status

    asyncio.run(run())


def test_only_spaced_checks_since_the_stop_tell_that_the_balancer_has_noticed():
    # Guards against an instance that ends early because anybody asked its readiness
    # port, while the load balancer still sends clients there.
    async def ask(address):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    async def run():
        clock = ManualClock(10_000)
        endpoint = frontend.ReadinessEndpoint(Intake.from_config(clock=clock))
        server = endpoint.make_server()
        server.listen(0, "127.0.0.1")
        (listening,) = server._sockets.values()
        address = listening.getsockname()
        assert [await ask(address) for _ in range(3)] == [503] * 3
        endpoint.mark_draining()
        for _ in range(3):
            await ask(address)
        assert not endpoint.is_noticed
        clock.advance(1_000)
        await ask(address)
        assert endpoint.is_noticed
        server.stop()
        await server.close_all_connections()

    asyncio.run(run())


def test_settings_are_checked(tmp_path: pathlib.Path):
    # Guards against a process that starts with incomplete settings.
    path = tmp_path / "settings"
    with pytest.raises(SettingsError):
        read_settings(path)
    path.write_text('{"instance_id": 4}')
    with pytest.raises(SettingsError):
        read_settings(path)


def test_template_names_every_setting():
    # Guards against a setting that the platform never fills in.
    root = pathlib.Path(__file__).resolve().parent.parent
    template = (root / "deploy" / "entry.json").read_text(encoding="utf-8")
    from marjoramgrade.platform.settings import InstanceSettings

    for field in InstanceSettings.__attrs_attrs__:
        assert f'"{field.name}"' in template


def test_platform_names_occur_only_in_the_platform_folder():
    # Guards against a second module that decodes the platform's names.
    names = (
        *("run-start", "rows-tx", "rows-get", "rows-feed", "lastSeen", "deadlineMs"),
        *("expectRev", "antiAffinity", "mayMiss", "maxHoldMs", "apiKeys", "tenant"),
    )
    package = pathlib.Path(errors.__file__).parent
    for path in package.rglob("*.py"):
        if path.parent.name != "platform":
            text = path.read_text(encoding="utf-8")
            assert not [name for name in names if name in text], path


@pytest.mark.parametrize("answer", [b"HTTP/1.1 500 x\r\n", b"HTTP/1.1 200 OK\r\n"])
def test_unusable_store_response_raises_a_store_error(answer):
    # Guards against an unhandled exception that ends the process when the store
    # responds with an error or a body that is not JSON.
    async def handle(reader, writer):
        with (
            contextlib.closing(writer),
            contextlib.suppress(asyncio.IncompleteReadError),
        ):
            while head := await reader.readuntil(b"\r\n\r\n"):
                length = re.search(rb"Content-Length: (\d+)", head)
                await reader.readexactly(int(length[1]) if length else 0)
                writer.write(answer + b"Content-Length: 2\r\n\r\nno")

    async def run():
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreClient(f"127.0.0.1:{port}")
        await client.start()
        row = RowId("jobs", "p0", "a")
        with pytest.raises(TableUnavailableError):
            await client.ask(ReadRows("jobs", "p0"))
        with pytest.raises(WriteOutcomeUnknownError):
            await client.ask(CommitRows((), (RowWrite(row, b"x"),)))
        await client.stop()
        server.close()

    asyncio.run(run())


def test_read_of_an_older_state_is_logged():
    # Guards against an older state of the store that goes unnoticed (issue 29: the logs
    # could not tell whether a configuration or a leader's state had been read late).
    async def run():
        client = StoreClient("127.0.0.1:1")
        versions = [9, 9, 7, 9]

        async def respond(*_args, **_kwargs):
            body = msgspec.json.encode({"rows": [], "ver": versions.pop(0)})
            return HttpResponse(200, body, {})

        client._pool.request = respond
        await client.start()
        for message in (ReadRows("op", ""), WatchRows("op", 9, 10)) * 2:
            await client.ask(message)
        await client.stop()

    stream = io.StringIO()
    logs.configure(stream)
    asyncio.run(run())
    (line,) = [msgspec.json.decode(line) for line in stream.getvalue().splitlines()]
    assert line["event"] == "stale_read"
    assert (line["table"], line["version"], line["known"]) == ("op", 7, 9)


def test_cancelled_reads_free_their_connections():
    # Guards against reads that were answered on another path and keep the connections
    # that a write needs: with six of them a write went out 0.6 s late.
    async def run():
        async def handle(reader, writer):
            with contextlib.closing(writer), contextlib.suppress(OSError):
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(1)

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = StoreClient(f"127.0.0.1:{port}")
        await client.start()
        reads = [
            asyncio.ensure_future(client.ask(ReadRows("jobs", "p0"))) for _ in range(12)
        ]
        await asyncio.sleep(0.2)
        for read in reads:
            read.cancel()
        await asyncio.sleep(0.5)
        running = client._pool._running_count
        await asyncio.sleep(0.5)
        await client.stop()
        server.close()
        assert running == 0

    asyncio.run(run())


def test_admission_policy_must_be_known(tmp_path: pathlib.Path):
    # Guards against a misspelt policy, which would be found only once the instance
    # leads.
    known = {
        "instance_id": "a",
        "zone": "z",
        "host": "127.0.0.1",
        **dict.fromkeys(("front", "ready", "store"), "127.0.0.1:1"),
        **dict.fromkeys(("peer_port", "metrics_port", "longest_lease_ms"), 1),
        **dict.fromkeys(("cpu_share", "cores", "link_mbps"), 1.0),
        **dict.fromkeys(("status_s", "shutdown_s"), 1),
    }
    path = tmp_path / "settings"
    for name in ("open_jobs", "estimate"):
        path.write_bytes(msgspec.json.encode({**known, "admission": name}))
        assert read_settings(path).admission == name
    path.write_bytes(msgspec.json.encode({**known, "admission": "estimates"}))
    with pytest.raises(SettingsError, match="admission"):
        read_settings(path)
