"""How an instance stops while it and other instances call each other."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import time

import attrs
import pytest
from tornado.testing import bind_unused_port

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade import logs
from marjoramgrade.actor import Actor, ActorGroup, Message, handles
from marjoramgrade.adapters.peercodec import Hello, parse_frame
from marjoramgrade.adapters.peerlink import PeerLink, PeerServer
from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers.forwarding import ForwardingController, ForwardRequest
from marjoramgrade.errors import (
    JobNotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    ShuttingDownError,
)
from marjoramgrade.messages.peers import CallOverLink, CallPeer, InboundMessage, Member
from marjoramgrade.messages.rows import CommitRows, ReadRows, RowId, RowsPage, RowWrite
from marjoramgrade.messages.steps import (
    GetStepJob,
    LeaderChanged,
    RequestAdvice,
    StepJobAccepted,
    SubmitStepJob,
)
from marjoramgrade.stepjobs import Step, StepJob
from marjoramgrade.stopping import Stopping
from soak.cell import send_request
from tests.untrusted import (
    ORDINARY_JOB,
    alone,  # noqa: F401 (a fixture for all tests)
    frame_bytes,
    running_cell,
    running_instance,
)

JOB = StepJob("", "", "", "100:50", (Step(1),))
SHUTDOWN_S = 4.0
# Of clients that send to an instance that goes on; their deadline is 3 s.
ANSWER_S = 3.5


@attrs.frozen
class Block(Message[None]):
    pass


class Blocking(Actor):
    """Never ends with a message."""

    def __init__(self, gate):
        super().__init__()
        self._gate = gate

    @handles(Block)
    async def _block(self, message):
        await self._gate.wait()


class Stubborn(Blocking):
    """Has a background task that goes on when it is cancelled."""

    async def on_start(self):
        self.spawn(self._go_on())

    async def _go_on(self):
        while not self._gate.is_set():
            try:
                await self._gate.wait()
            except asyncio.CancelledError:
                continue


class Owner(Actor):
    has_released = False

    async def on_stop(self):
        self.has_released = True


def test_actor_that_does_not_stop_leaves_time_to_the_others(monkeypatch):
    # Guards against a process that is killed before it has given up what it owns, as
    # the handler or a background task of one actor does not end.
    events = []
    monkeypatch.setattr(
        logs, "log_event", lambda event, **fields: events.append((event, fields))
    )

    async def run():
        loop = asyncio.get_running_loop()
        gate, stopping, owner = asyncio.Event(), Stopping(), Owner()
        group = ActorGroup(lambda: stopping.left_ms)
        blocked = Blocking(gate)
        for actor in (owner, Stubborn(gate), blocked):
            await group.add(actor)
        blocked.tell(Block())
        await asyncio.sleep(0.01)
        stopping.begin(500)
        began_s = loop.time()
        # So that a fault ends the test.
        loop.call_later(2, gate.set)
        await group.aclose()
        assert loop.time() - began_s < 0.5
        assert owner.has_released
        gate.set()

    asyncio.run(run())
    assert events == [
        ("actor_not_stopped", {"actor": "Blocking", "work": "Block"}),
        ("actor_not_stopped", {"actor": "Stubborn", "work": "_go_on"}),
    ]


class OnePeer(Actor):
    """Sends the calls to other instances over one link."""

    def __init__(self, link):
        super().__init__()
        self._link = link

    @handles(CallPeer)
    async def _call(self, message):
        return self.spawn(
            self._link.ask(CallOverLink(message.message, message.timeout_ms))
        )


class Stalled(Actor):
    """Never ends with a call of another instance."""

    calls = 0

    @handles(InboundMessage)
    async def _inbound(self, message):
        self.calls += 1
        return self.spawn(asyncio.Event().wait())


class EmptyStore(Actor):
    @handles(ReadRows)
    async def _read(self, message):
        return RowsPage((), 1)


class Scheduler(Actor):
    """Accepts or refuses each job, as a leader that the store has confirmed."""

    refusal = None

    @handles(SubmitStepJob)
    async def _submit(self, message):
        if self.refusal is not None:
            raise self.refusal
        return StepJobAccepted(True)


@attrs.define
class Forwarding:
    """A forwarder whose leader is an instance that can be told to stop."""

    forwarder: ForwardingController
    scheduler: Scheduler
    leader: Stalled
    stopping: Stopping

    def send(self, request, wait_ms):
        deadline_ms = SystemClock().now_ms() + wait_ms
        return asyncio.ensure_future(
            self.forwarder.ask(ForwardRequest(request, deadline_ms))
        )

    async def await_call(self):
        async with asyncio.timeout(2):
            while not self.leader.calls:
                await asyncio.sleep(0.01)


@contextlib.asynccontextmanager
async def forwarding():
    socket, port = bind_unused_port()
    stopping, leader, scheduler = Stopping(), Stalled(), Scheduler()
    server = PeerServer(leader, stopping=stopping)
    link = PeerLink("b", "127.0.0.1", Member("a", "north", "127.0.0.1", port))
    peers, store = OnePeer(link), EmptyStore()
    forwarder = ForwardingController("b", scheduler, peers, store, SystemClock())
    async with ActorGroup() as group:
        for actor in (leader, scheduler, link, peers, store, forwarder):
            await group.add(actor)
        server.add_socket(socket)
        group.push_async_callback(server.close)
        forwarder.tell(LeaderChanged("a", 1))
        yield Forwarding(forwarder, scheduler, leader, stopping)


def test_read_refused_by_a_leader_that_stops_is_answered_from_the_store_at_once():
    # Guards against a client that waits for the timeout of an attempt at a leader that
    # stops, which read the request and never answers it.
    async def run():
        async with forwarding() as cell:
            cell.stopping.end_now()
            with pytest.raises(JobNotFoundError):
                await asyncio.wait_for(cell.send(GetStepJob("f" * 16), 3_000), 0.5)
            assert not cell.leader.calls

    asyncio.run(run())


@pytest.mark.parametrize("refusal", [None, OverloadedError("full").confirmed_by(2)])
def test_job_cut_off_by_a_leader_that_stops_is_not_taken_for_refused(refusal):
    # Guards against a client that is told that its job has not run, by the refusal of
    # the next leader, although the one before may have accepted it.
    async def run():
        async with forwarding() as cell:
            cell.scheduler.refusal = refusal
            answer = cell.send(SubmitStepJob(JOB), 1_200)
            await cell.await_call()
            cell.stopping.end_now()
            cell.forwarder.tell(LeaderChanged("", 1))
            await asyncio.sleep(0.1)
            cell.forwarder.tell(LeaderChanged("b", 2))
            if refusal is None:
                assert await asyncio.wait_for(answer, 0.4) == StepJobAccepted(True)
                return
            with pytest.raises(OutcomeUnknownError):
                await answer

    asyncio.run(run())


async def await_end(process, began_s):
    """Return the time from a moment until a process has ended."""
    async with asyncio.timeout(SHUTDOWN_S + 10):
        while process.popen.poll() is None:
            await asyncio.sleep(0.01)
    return time.monotonic() - began_s


def events_of(process):
    lines = process.log.read_text().splitlines()
    return [json.loads(line) for line in lines if line.startswith("{")]


async def leader_of(instances):
    """Return the name of the leader that all other instances have heard of."""
    async with asyncio.timeout(10):
        while True:
            heard = [
                event["leader"]
                for each in instances.values()
                for event in events_of(each.process)
                if event["event"] == "leader_heard"
            ]
            if len(heard) >= len(instances) - 1:
                return heard[-1]
            await asyncio.sleep(0.1)


@contextlib.asynccontextmanager
async def silent_server():
    """Yield the address of a server that answers nothing."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        yield f"{host}:{port}"
    finally:
        server.close()


async def replies_until_closed(reader):
    """Return what another instance got for each of its calls, by their numbers."""
    replies = {}
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            length = int.from_bytes(await reader.readexactly(4), "big")
            frame = parse_frame(await reader.readexactly(length))
            replies[frame.correlation] = frame.body
    return replies


def test_instance_answers_calls_of_another_one_and_ends_in_time(tmp_path):
    # Guards against a planned stop that ends only by SIGKILL, as the placement advisor
    # or the store does not respond to a call of another instance, which gets no answer.
    async def run():
        async with contextlib.AsyncExitStack() as stack:
            advice = await stack.enter_async_context(silent_server())
            instance = await stack.enter_async_context(
                running_instance(tmp_path, shutdown_s=SHUTDOWN_S, advice=advice)
            )
            host, _, port = instance.address_by_port["peer"].partition(":")
            reader, writer = await asyncio.open_connection(host, port)
            stack.callback(writer.close)
            write = RowWrite(RowId("test", "", "a"), b"x")
            writer.write(frame_bytes(Hello("z")))
            writer.write(frame_bytes(RequestAdvice("f" * 16, 0, 0, ("w0",)), 1))
            await asyncio.sleep(0.2)
            began_s = time.monotonic()
            instance.process.send(signal.SIGTERM)
            await asyncio.sleep(2.0)
            instance.fleet.send(signal.SIGSTOP)
            await asyncio.sleep(0.2)
            writer.write(frame_bytes(CommitRows((), (write,)), 2))
            ended = asyncio.ensure_future(await_end(instance.process, began_s))
            replies = await replies_until_closed(reader)
            return instance, replies, await ended

    instance, replies, ended_s = asyncio.run(run())
    assert ended_s < SHUTDOWN_S
    assert {number: type(reply) for number, reply in replies.items()} == {
        1: ShuttingDownError,
        2: OutcomeUnknownError,
    }
    assert instance.process.popen.returncode == 0
    events = [line["event"] for line in events_of(instance.process)]
    assert "stopped" in events
    assert "stop_overdue" not in events


def test_request_passed_on_to_an_instance_that_stops_gets_an_answer(tmp_path):
    # Guards against clients of an instance that goes on, and that get no answer or none
    # in time since the leader stops with their requests while the store hangs.
    async def run():
        async with running_cell(tmp_path, shutdown_s=SHUTDOWN_S) as instances:
            leader = instances[await leader_of(instances)]
            others = [each for each in instances.values() if each is not leader]
            began_s = time.monotonic()
            leader.process.send(signal.SIGTERM)

            async def play(number):
                await asyncio.sleep(number * 0.05)
                address = others[number % 2].address_by_port["front"]
                method, body = (("GET", None), ("POST", ORDINARY_JOB))[number // 2 % 2]
                sent_s = time.monotonic()
                path = f"/q/{number + 100:016x}"
                answer = await send_request(
                    address, method, path, body, {"Host": "jobs.example"}, 10_000
                )
                took_s = time.monotonic() - sent_s
                return method, answer and answer.status, took_s

            async def pause_store():
                await asyncio.sleep(0.1)
                leader.fleet.send(signal.SIGSTOP)
                await asyncio.sleep(1.0)
                leader.fleet.send(signal.SIGCONT)

            pausing = asyncio.ensure_future(pause_store())
            ended = asyncio.ensure_future(await_end(leader.process, began_s))
            calls = await asyncio.gather(*(play(number) for number in range(80)))
            await pausing
            return leader, calls, await ended

    leader, calls, ended_s = asyncio.run(run())
    bad = [
        (method, status, round(took_s, 2))
        for method, status, took_s in calls
        # A submission that is refused must not have been accepted by the leader.
        if status is None or took_s > ANSWER_S or (method, status) == ("POST", 503)
    ]
    assert not bad
    assert sum(status == 200 for _, status, _ in calls) > len(calls) / 4
    assert ended_s < SHUTDOWN_S
    assert leader.process.popen.returncode == 0
    assert "stopped" in [line["event"] for line in events_of(leader.process)]
