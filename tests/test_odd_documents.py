"""Tests that no document of another program ends or misleads a process.

Guards against odd entries among those of the workers, as other operators reported: very
deeply nested, with a number too large, with a port out of range.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade.actor import Actor, handles
from marjoramgrade.adapters.httppool import HttpPool, HttpResponse
from marjoramgrade.adapters.peercodec import PeerFrame, parse_frame, serialize_frame
from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers.directory import DirectoryController, DirectoryFormat
from marjoramgrade.decisions.leadermonitor import LeaderRow
from marjoramgrade.decisions.stepprogress import JobRecord
from marjoramgrade.errors import (
    InvalidInputError,
    MarjoramgradeError,
    ProtocolError,
    RowCheckFailedError,
    RowsRejectedError,
    TableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.rows import (
    CommitRows,
    ReadRows,
    RowId,
    RowsPage,
    RowWrite,
    StoredRow,
    WatchRows,
)
from marjoramgrade.messages.steps import (
    LeaderBeat,
    RequestAdvice,
    StepConfigChanged,
    WatchWorkers,
    WorkersChanged,
)
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.platform.advice import connect_advisor
from marjoramgrade.platform.configuration import parse_config
from marjoramgrade.platform.decoding import decode_object
from marjoramgrade.platform.frontend import parse_job
from marjoramgrade.platform.store import StoreClient
from marjoramgrade.platform.workers import parse_listing, parse_worker
from marjoramgrade.steprows import JobRow, MemberRow, RosterRow, parse_row
from tests.test_platform_folder import CONFIG, WORKER_ENTRY

DEPTH = 60_000
NESTED = b"[" * DEPTH + b"]" * DEPTH
HUGE = 10**30
LISTING = {
    "born": 5,
    "clockMs": 9,
    "running": [["ab.0.0.0", 1, "", 5, 7]],
    "ended": [[1, "ab.0.0.1", 1, "done", ""]],
}
JOB = {"spec": "x", "steps": [{"count": 2, "cpu": 500, "after": [0]}]}
ADVICE = {"good": [["w", "ticket"]], "validMs": 2_500}
ROW = {"table": "op", "part": "", "key": "a", "value": "", "ver": 3}

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)


def parse_peer_frame(data: bytes) -> object:
    return parse_frame(data)


def parse_advice(data: bytes) -> object:
    async def respond(*_args: object, **_kwargs: object) -> HttpResponse:
        return HttpResponse(200, data, {})

    client = connect_advisor("127.0.0.1:1")
    client._pool.request = respond
    return asyncio.run(client.advise(RequestAdvice("a", 0, 0, ())))


def read_store_page(data: bytes) -> RowsPage:
    async def respond(*_args: object, **_kwargs: object) -> HttpResponse:
        return HttpResponse(200, data, {})

    async def run() -> RowsPage:
        client = StoreClient("127.0.0.1:1")
        client._pool.request = respond
        await client.start()
        try:
            return await client.ask(ReadRows("op", ""))
        finally:
            await client.stop()

    return asyncio.run(run())


DECODERS = {
    "worker": (lambda data: parse_worker("w", data), WORKER_ENTRY),
    "config": (parse_config, CONFIG),
    "listing": (lambda data: parse_listing(decode_object(data)), LISTING),
    "job": (parse_job, JOB),
    "advice": (parse_advice, ADVICE),
    "store": (read_store_page, {"rows": [ROW], "ver": 4}),
    "member": (lambda data: parse_row(data, MemberRow), {}),
    "leader": (lambda data: parse_row(data, LeaderRow), {}),
    "job row": (lambda data: parse_row(data, JobRow), {}),
    "progress": (lambda data: parse_row(data, JobRecord), {}),
    "roster": (lambda data: parse_row(data, RosterRow), {}),
    "frame": (parse_peer_frame, {}),
}


def fails_typed(name: str, data: bytes) -> bool:
    """Return whether a decoder refuses the data; any other error fails the test."""
    try:
        DECODERS[name][0](data)
    except MarjoramgradeError:
        return True
    return False


def mutations(document: object) -> st.SearchStrategy[object]:
    """Return documents in which one value, at any depth, is replaced."""
    if isinstance(document, dict) and document:
        return st.sampled_from(sorted(document)).flatmap(
            lambda name: (json_values | mutations(document[name])).map(
                lambda value: {**document, name: value}
            )
        )
    if isinstance(document, list) and document:
        return (json_values | mutations(document[0])).map(
            lambda value: [value, *document[1:]]
        )
    return json_values


@pytest.mark.parametrize("name", sorted(DECODERS))
@given(data=st.data())
@settings(max_examples=60)
def test_any_bytes_give_a_value_or_a_typed_error(name, data):
    # Guards against an exception that ends the task which reads the documents.
    raw = data.draw(st.binary(max_size=200))
    fails_typed(name, raw)
    document = data.draw(mutations(DECODERS[name][1]))
    fails_typed(name, msgspec.json.encode(document))


@pytest.mark.parametrize("name", sorted(DECODERS))
def test_deep_nesting_is_refused(name):
    # Guards against a RecursionError, which is no ValueError and ended the reader.
    for data in (NESTED, b'{"rows":' + NESTED + b"}", b'{"other":' + NESTED + b"}"):
        assert fails_typed(name, data), data[:20]


ODD_VALUES = [
    ("capacity", {"cpu": HUGE}),
    ("capacity", {"cpu": 1e30}),
    ("capacity", {"cpu": -5}),
    ("capacity", {"memMb": HUGE}),
    ("capacity", {"gpu": "8"}),
    ("capacity", {"cpu": True}),
    ("capacity", {"cpu": [1]}),
    ("capacity", {"cpu": {}}),
    ("capacity", None),
    ("capacity", []),
    ("addr", "10.0.0.1:99999"),
    ("addr", "10.0.0.1:0"),
    ("addr", "10.0.0.1:" + "9" * 30),
    ("addr", "10.0.0.1:8\u00b2"),
    ("addr", "10.0.0.1:-1"),
    ("addr", "10.0.0.1"),
    ("addr", ":80"),
    ("addr", "worker.example:80"),
    ("addr", 80),
    ("addr", "fe80::1%eth0:80"),
    ("addr", "fe80::1%..:80"),
    ("labels", "r1"),
    ("labels", [7]),
    ("labels", {"rack": "r1"}),
    ("born", HUGE),
    ("born", -1),
    ("born", "5"),
    ("born", True),
    ("state", "gone"),
    ("state", ["ready"]),
    ("service", ""),
    ("service", 5),
    ("zone", None),
]


@pytest.mark.parametrize(("name", "value"), ODD_VALUES)
def test_worker_entry_with_an_odd_value_is_refused(name, value):
    # Guards against a worker of 10^30 cores that would attract all work, and against
    # an address that fails only when it is dialled.
    entry = {**WORKER_ENTRY, name: value}
    with pytest.raises(InvalidInputError):
        parse_worker("w", msgspec.json.encode(entry))


ODD_IDS = ["", " w", "w ", "w\t", "w\n", "w\r\nX: 1", "w\x00", "w\x7f", "наряд-7"]


@pytest.mark.parametrize("worker_id", ODD_IDS)
def test_worker_id_that_no_header_can_hold_is_refused(worker_id):
    # Guards against an id that fails only when a call to the worker names it.
    with pytest.raises(InvalidInputError):
        parse_worker(worker_id, msgspec.json.encode(WORKER_ENTRY))


@pytest.mark.parametrize("worker_id", ["w", "w 7", "w\t7", "w-é", "w" * 200])
def test_worker_id_that_a_header_can_hold_is_read(worker_id):
    data = msgspec.json.encode(WORKER_ENTRY)
    assert parse_worker(worker_id, data).worker_id == worker_id


def test_worker_entry_with_unknown_fields_is_read():
    entry = {**WORKER_ENTRY, "later": {"a": [1, {"b": 2}]}, "seq": HUGE}
    assert parse_worker("w", msgspec.json.encode(entry)).worker_id == "w"


def test_member_with_an_address_that_cannot_be_dialled_is_refused():
    # Guards against an OverflowError in the connection to a peer.
    member = {"instance_id": "a", "zone": "z", "host": "10.0.0.1", "peer_port": 1}
    assert parse_row(msgspec.json.encode(member), MemberRow).peer_port == 1
    for change in ({"peer_port": 99_999}, {"peer_port": 0}, {"host": "nowhere"}):
        with pytest.raises(InvalidInputError):
            parse_row(msgspec.json.encode({**member, **change}), MemberRow)


def test_one_row_that_cannot_be_decoded_leaves_the_others_of_a_page():
    # Guards against a list of workers that nobody can read because of one entry.
    odd = [{**ROW, "value": 5}, {**ROW, "value": "%"}, {**ROW, "ver": "x"}, 7, None]
    page = read_store_page(msgspec.json.encode({"rows": [*odd, ROW], "ver": 4}))
    assert [row.row.key for row in page.rows] == ["a"]


@given(st.integers(0, 10**6), st.integers(0, 255))
@settings(max_examples=300)
def test_damaged_peer_frame_is_a_protocol_error(position, byte):
    # Guards against a reader of peer frames that ends without closing its connection.
    data = bytearray(serialize_frame(PeerFrame(3, LeaderBeat(1, "a", 5, 6))))
    data[position % len(data)] = byte
    with contextlib.suppress(ProtocolError):
        parse_frame(bytes(data))


class WorkerTable(Actor):
    """A store whose table of workers is changed by the test."""

    def __init__(self):
        super().__init__()
        self.version = 1
        self.row_by_key = {}
        self.fails_next = False

    def put(self, key, value):
        self.version += 1
        row_id = RowId("servers", "", key)
        self.row_by_key[key] = StoredRow(row_id, value, self.version)

    @handles(ReadRows)
    async def _read(self, message: ReadRows) -> RowsPage:
        rows = self.row_by_key if message.table == "servers" else {}
        return RowsPage(tuple(rows.values()), self.version)

    @handles(WatchRows)
    async def _watch(self, message: WatchRows) -> object:
        if self.fails_next and message.table == "servers":
            self.fails_next = False
            raise ProtocolError("an odd response")
        return self.spawn(self._changes(message))

    async def _changes(self, message):
        while True:
            rows = [r for r in self.row_by_key.values() if r.version > message.after]
            if rows and message.table == "servers":
                return RowsPage(tuple(rows), self.version)
            await asyncio.sleep(0.005)


class Listener(Actor):
    def __init__(self):
        super().__init__()
        self.worker_by_id = {}

    @handles(WorkersChanged)
    async def _listed(self, message: WorkersChanged) -> None:
        self.worker_by_id = {w.worker_id: w for w in message.workers}

    @handles(StepConfigChanged)
    async def _config(self, message: StepConfigChanged) -> None:
        return None


@contextlib.asynccontextmanager
async def watching():
    store, listener, metrics = WorkerTable(), Listener(), MemoryMetrics()
    directory = DirectoryController(
        store,
        DirectoryFormat(
            "op", "servers", "config", "evacuate/", parse_config, parse_worker
        ),
        SystemClock(),
        metrics,
        (),
        listener,
    )
    failures = []
    async with contextlib.AsyncExitStack() as stack:
        for actor in (store, listener, directory):
            actor.on_fatal = failures.append
            await actor.start()
            stack.push_async_callback(actor.stop)
        directory.tell(WatchWorkers(True))
        yield store, listener, metrics
        assert not failures


async def until(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.01)


def entry(**changes):
    return msgspec.json.encode({**WORKER_ENTRY, **changes})


def test_reader_goes_on_after_odd_entries():
    # Guards against a machine that no longer follows the list of the workers.
    async def run():
        async with watching() as (store, listener, metrics):
            store.put("a", entry())
            await until(lambda: set(listener.worker_by_id) == {"a"})
            for number, odd in enumerate(
                (NESTED, b"\xff\xfe", b"", entry(addr="10.0.0.1:99999"))
            ):
                store.put(f"odd-{number}", odd)
            store.put("b", entry())
            await until(lambda: set(listener.worker_by_id) == {"a", "b"})
            assert metrics.count_by_name["unreadable.worker"] >= 4

    asyncio.run(run())


def test_known_worker_keeps_its_last_readable_entry():
    # Guards against a worker that gets no work because another writer left an odd entry
    # under its id.
    async def run():
        async with watching() as (store, listener, _):
            store.put("a", entry(born=5))
            await until(lambda: set(listener.worker_by_id) == {"a"})
            store.put("a", NESTED)
            store.put("b", entry())
            await until(lambda: "b" in listener.worker_by_id)
            assert listener.worker_by_id["a"].born_unix_ms == 5
            store.put("a", entry(born=6, state="draining"))
            await until(lambda: listener.worker_by_id["a"].draining)

    asyncio.run(run())


def test_watch_goes_on_after_a_response_that_breaks_the_protocol():
    # Guards against a process that ends because of one malformed response.
    async def run():
        async with watching() as (store, listener, _):
            store.put("a", entry())
            await until(lambda: "a" in listener.worker_by_id)
            store.fails_next = True
            store.put("b", entry())
            store.put("c", entry())
            await until(lambda: {"b", "c"} <= set(listener.worker_by_id))

    asyncio.run(run())


async def answer_of_store(status, body, message):
    """Return the error of a call to which the store responds with a status and body."""

    async def respond(*_args, **_kwargs):
        return HttpResponse(status, body, {})

    client = StoreClient("127.0.0.1:1")
    client._pool.request = respond
    await client.start()
    try:
        await client.ask(message)
    except MarjoramgradeError as error:
        return error
    finally:
        await client.stop()


ODD_ANSWERS = [
    (200, b""),
    (200, b"[]"),
    (200, b"{}"),
    (200, b'{"rows":{},"ver":"x"}'),
    (200, b'{"rows":[],"ver":' + b"9" * 5_000 + b"}"),
    (200, NESTED),
    (204, b""),
    (302, b""),
    (404, b"no"),
    (410, b"gone"),
    (412, b'{"rows":7,"ver":1}'),
    (418, b""),
    (500, b"no"),
]


@pytest.mark.parametrize(("status", "body"), ODD_ANSWERS)
def test_odd_answer_of_the_store_is_a_failure_of_the_table(status, body):
    # Guards against an error that those who read the members, the leadership or the
    # stored jobs do not expect, and that ends the process.
    for message in (ReadRows("members", ""), WatchRows("op", 1, 5)):
        error = asyncio.run(answer_of_store(status, body, message))
        assert isinstance(error, TableError), message


@pytest.mark.parametrize(("status", "body"), ODD_ANSWERS)
def test_odd_answer_to_a_write_leaves_its_outcome_unknown(status, body):
    # Guards against a leader whose writes end, and against a write that is taken for
    # one that was not made.
    write = CommitRows((), (RowWrite(RowId("jobs", "p0", "a"), b"x"),))
    error = asyncio.run(answer_of_store(status, body, write))
    assert isinstance(error, WriteOutcomeUnknownError | RowCheckFailedError)


def test_store_that_refuses_a_transaction_as_invalid_is_a_typed_error():
    # Guards against the end of the leader's writes by one row that is too large.
    async def respond(*_args, **_kwargs):
        return HttpResponse(400, b'{"error":"too long"}', {})

    async def run():
        client = StoreClient("127.0.0.1:1")
        client._pool.request = respond
        await client.start()
        try:
            write = RowWrite(RowId("jobs", "p0", "a"), base64.b64decode("YQ=="))
            with pytest.raises(RowsRejectedError):
                await client.ask(CommitRows((), (write,)))
        finally:
            await client.stop()

    asyncio.run(run())


def test_pool_of_an_address_that_is_no_address_is_never_made():
    # Guards against an address that reaches the connection pool unchecked.
    for address in ("10.0.0.1:99999", "10.0.0.1:8\u00b2"):
        with pytest.raises(InvalidInputError):
            parse_worker("w", entry(addr=address))
    HttpPool("10.0.0.1:80").close()
