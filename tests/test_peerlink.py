"""Tests of the connections between entry instances."""

from __future__ import annotations

import asyncio
import contextlib
from socket import create_connection

import attrs
import pytest
from tornado.iostream import IOStream
from tornado.testing import bind_unused_port

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade.actor import Actor, handles
from marjoramgrade.adapters import peerlink
from marjoramgrade.adapters.intake import Intake
from marjoramgrade.adapters.peercodec import (
    Hello,
    PeerFrame,
    parse_frame,
    serialize_frame,
)
from marjoramgrade.adapters.peerlink import (
    FRAMES_PER_TURN,
    PeerLink,
    PeerServer,
    read_frame,
)
from marjoramgrade.decisions.intake.bounds import SMALL_BODY_BYTES, IntakeBounds
from marjoramgrade.decisions.intake.connections import ConnectionUse
from marjoramgrade.decisions.stopping.answers import WorkKind
from marjoramgrade.errors import (
    OutcomeUnknownError,
    OwnerUnreachableError,
    ProtocolError,
    ShuttingDownError,
)
from marjoramgrade.messages.peers import (
    CallOverLink,
    InboundMessage,
    Member,
    PeerDisconnected,
    TellOverLink,
)
from marjoramgrade.messages.rows import (
    CommitRows,
    FetchPart,
    PageTransfer,
    ReadRows,
    RowId,
    RowsCommitted,
    RowsPage,
    StoredRow,
    WatchRows,
)
from marjoramgrade.messages.steps import (
    AskLeaderAge,
    CancelStepJob,
    CountPending,
    GetStepJob,
    LeaderAge,
    LeaderBeat,
    RequestAdvice,
    SubmitStepJob,
)
from marjoramgrade.messages.workkinds import work_kind_of
from marjoramgrade.stepjobs import Step, StepJob
from marjoramgrade.stopping import Stopping


class Receiver(Actor):
    def __init__(self):
        super().__init__()
        self.received = []

    @handles(InboundMessage)
    async def _inbound(self, message: InboundMessage) -> None:
        self.received.append(message.message)

    @handles(PeerDisconnected)
    async def _lost(self, message: PeerDisconnected) -> None:
        self.received.append(message)


async def wait_until(condition):
    async with asyncio.timeout(4):
        while not condition():
            await asyncio.sleep(0.01)


def test_end_of_an_incoming_connection_is_reported():
    # Guards against a leader failure that is detected only by missing heartbeats,
    # although its connection has closed.
    async def run():
        receiver = Receiver()
        socket, port = bind_unused_port()
        server = PeerServer(receiver, receiver)
        link = PeerLink("b", "127.0.0.1", Member("a", "north", "127.0.0.1", port))
        async with contextlib.AsyncExitStack() as stack:
            await receiver.start()
            stack.push_async_callback(receiver.stop)
            server.add_socket(socket)
            stack.push_async_callback(server.close)
            await link.start()
            link.tell(TellOverLink(LeaderBeat(1, "b")))
            await wait_until(lambda: receiver.received == [LeaderBeat(1, "b")])
            await link.stop()
            await wait_until(lambda: PeerDisconnected("b") in receiver.received)

    asyncio.run(run())


def test_heartbeats_do_not_wait_for_the_turns_of_bodies():
    # Guards against a leader that counts as lost while clients send hundreds of bodies
    # in small chunks: every eighth heartbeat waited behind all of them.
    async def run():
        receiver = Receiver()
        socket, port = bind_unused_port()
        intake = Intake.from_config()
        # No turn is given.
        intake._turning = asyncio.get_running_loop().call_later(60, lambda: None)
        server = PeerServer(receiver, intake=intake)
        link = PeerLink("b", "127.0.0.1", Member("a", "north", "127.0.0.1", port))
        async with contextlib.AsyncExitStack() as stack:
            await receiver.start()
            stack.push_async_callback(receiver.stop)
            server.add_socket(socket)
            stack.push_async_callback(server.close)
            await link.start()
            stack.push_async_callback(link.stop)
            for count in range(1, 2 * FRAMES_PER_TURN + 2):
                link.tell(TellOverLink(LeaderBeat(count, "b")))
                await wait_until(lambda count=count: len(receiver.received) == count)

    asyncio.run(run())


@contextlib.asynccontextmanager
async def serving_peers(receiver, intake):
    """Yield the port of a server of other instances."""
    socket, port = bind_unused_port()
    server = PeerServer(receiver, intake=intake)
    async with contextlib.AsyncExitStack() as stack:
        await receiver.start()
        stack.push_async_callback(receiver.stop)
        server.add_socket(socket)
        stack.push_async_callback(server.close)
        yield port


def test_many_frames_received_at_once_are_read_in_turns():
    # Guards against a connection that keeps the event loop from all others.
    async def run():
        receiver = Receiver()
        intake = Intake.from_config()
        intake._turning = asyncio.get_running_loop().call_later(60, lambda: None)
        async with contextlib.AsyncExitStack() as stack:
            port = await stack.enter_async_context(serving_peers(receiver, intake))
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            stack.callback(writer.close)
            beats = [LeaderBeat(count, "b") for count in range(4 * FRAMES_PER_TURN)]
            frames = [Hello("b"), *beats]
            for data in (serialize_frame(PeerFrame(0, frame)) for frame in frames):
                writer.write(len(data).to_bytes(4, "big") + data)
            await wait_until(lambda: intake._turns)
            await asyncio.sleep(0.05)
            assert len(receiver.received) <= FRAMES_PER_TURN

    asyncio.run(run())


def test_frame_that_arrives_is_not_closed_for_the_bodies_of_clients():
    # Guards against an instance that loses its connection to the leader, with all calls
    # on it, because clients fill the budget while it sends a large frame.
    size = 300_000

    async def run():
        receiver = Receiver()
        bounds = attrs.evolve(IntakeBounds.from_config(), body_bytes=2 * size)
        intake = Intake.from_config(attrs.evolve(bounds, small_bytes=0))
        async with contextlib.AsyncExitStack() as stack:
            port = await stack.enter_async_context(serving_peers(receiver, intake))
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            stack.callback(writer.close)
            hello = serialize_frame(PeerFrame(0, Hello("b")))
            writer.write(len(hello).to_bytes(4, "big") + hello)
            writer.write((size + 1).to_bytes(4, "big") + b"x" * size)
            await wait_until(lambda: intake._budget.held_bytes == size)
            (peer,) = intake._budget.uses
            for _ in range(3):
                body = ConnectionUse.opened(intake.now_ms())
                intake._budget.open(body)
                intake.begin_body(body)
                intake.add_received(body, size - 50_000)
            assert peer in intake._budget.uses
            assert intake._budget.held_bytes <= 2 * size

    asyncio.run(run())


def test_frames_are_held_until_their_calls_are_done():
    # Guards against decoded frames that no bound counts while nothing answers them, and
    # against heartbeats that are refused because of them.
    size = 3 * SMALL_BODY_BYTES
    release = asyncio.Event()

    class WaitingReceiver(Receiver):
        @handles(InboundMessage)
        async def _inbound(self, message):
            if isinstance(message.message, LeaderBeat):
                self.received.append(message.message)
                return None
            return self.spawn(release.wait())

    async def run():
        receiver = WaitingReceiver()
        bounds = attrs.evolve(IntakeBounds.from_config(), body_bytes=6 * size)
        intake = Intake.from_config(attrs.evolve(bounds, small_bytes=size))
        job = StepJob("", "", "", "x" * size, (Step(1),))
        async with contextlib.AsyncExitStack() as stack:
            port = await stack.enter_async_context(serving_peers(receiver, intake))
            # The server waits for its calls when it closes, also after a failure.
            stack.callback(release.set)
            link = PeerLink("b", "127.0.0.1", Member("a", "north", "127.0.0.1", port))
            await link.start()
            stack.push_async_callback(link.stop)
            calls = [
                asyncio.ensure_future(link.ask(CallOverLink(SubmitStepJob(job), 9_000)))
                for _ in range(3)
            ]
            done, held = await asyncio.wait(
                calls, timeout=5, return_when=asyncio.FIRST_COMPLETED
            )
            (refused,) = done
            with pytest.raises(OwnerUnreachableError):
                await refused
            assert len(held) == 2
            assert intake._budget.serving_bytes >= 2 * size
            link.tell(TellOverLink(LeaderBeat(1, "b")))
            await wait_until(lambda: LeaderBeat(1, "b") in receiver.received)
            release.set()
            await asyncio.wait(held)
            await wait_until(lambda: not intake._budget.held_bytes)

    asyncio.run(run())


def test_frames_of_an_instance_that_has_left_are_still_read():
    # Guards against the last message of an instance that ends, which is lost if its
    # connection is closed while it waits for a turn.
    async def run():
        receiver = Receiver()
        intake = Intake.from_config()
        async with serving_peers(receiver, intake) as port:
            intake._turning = asyncio.get_running_loop().call_later(60, lambda: None)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            beats = [LeaderBeat(count, "b") for count in range(2 * FRAMES_PER_TURN)]
            for frame in (Hello("b"), *beats):
                data = serialize_frame(PeerFrame(0, frame))
                writer.write(len(data).to_bytes(4, "big") + data)
            await writer.drain()
            writer.close()
            await wait_until(lambda: any(use.has_left for use in intake._budget.uses))
            intake._give_turns()
            await wait_until(lambda: receiver.received[: len(beats)] == beats)

    asyncio.run(run())


class Replier(Receiver):
    """Replies to each message with an object that the test chooses."""

    reply = None

    @handles(InboundMessage)
    async def _inbound(self, message: InboundMessage) -> object:
        return self.reply


@contextlib.asynccontextmanager
async def linked_to(receiver):
    async with serving_peers(receiver, Intake.from_config()) as port:
        link = PeerLink("b", "127.0.0.1", Member("a", "north", "127.0.0.1", port))
        await link.start()
        try:
            yield link
        finally:
            await link.stop()


def test_reply_of_another_type_is_an_unknown_outcome():
    # Guards against an AttributeError in the task that asked, which ends the process:
    # a peer of another version may reply to a message with something else.
    async def run():
        replier = Replier()
        async with linked_to(replier) as link:
            read = ReadRows("members", "")
            for reply in (LeaderAge(1, 5), RowsCommitted(3), None):
                replier.reply = reply
                with pytest.raises(OutcomeUnknownError):
                    await link.ask(CallOverLink(read, 2_000))
            for reply in (RowsPage((), 3), PageTransfer(4)):
                replier.reply = reply
                assert await link.ask(CallOverLink(read, 2_000)) == reply

    asyncio.run(run())


def test_value_that_no_frame_can_hold_is_a_typed_error():
    # Guards against an error of the encoder that ends the caller's process, or leaves
    # a call without a reply.
    async def run():
        replier = Replier()
        async with linked_to(replier) as link:
            with pytest.raises(ProtocolError):
                await link.ask(CallOverLink(GetStepJob("\ud800"), 2_000))
            replier.reply = RowsPage((), 2**70)
            with pytest.raises(OutcomeUnknownError) as unknown:
                await link.ask(CallOverLink(ReadRows("members", ""), 2_000))
            assert "cannot be sent" in unknown.value.message

    asyncio.run(run())


def test_peer_whose_host_is_no_host_name_is_unreachable():
    # Guards against a UnicodeError of the resolver in the task that asks.
    async def run():
        link = PeerLink("b", "127.0.0.1", Member("a", "north", "fe80::1%..", 9))
        failures = []
        link.on_fatal = failures.append
        await link.start()
        with pytest.raises(OwnerUnreachableError):
            await link.ask(CallOverLink(GetStepJob("a"), 2_000))
        link.tell(TellOverLink(LeaderBeat(1, "b")))
        await asyncio.sleep(0.1)
        await link.stop()
        assert not failures

    asyncio.run(run())


class Stalled(Receiver):
    """Records what it gets, and never ends with it."""

    @handles(InboundMessage)
    async def _inbound(self, message: InboundMessage) -> object:
        self.received.append(message.message)
        return self.spawn(asyncio.Event().wait())


JOB = StepJob("", "", "", "100:50", (Step(1),))


@attrs.define
class StoppingPeer:
    """A server of other instances whose process stops, and a link to it."""

    receiver: Receiver
    stopping: Stopping
    server: PeerServer
    link: PeerLink
    port: int

    def call(self, message, timeout_ms=9_000):
        return asyncio.ensure_future(self.link.ask(CallOverLink(message, timeout_ms)))

    async def close(self):
        """Close the server, and return how long that took."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        async with asyncio.timeout(5):
            await self.server.close()
        return loop.time() - began_s


@contextlib.asynccontextmanager
async def stopping_peer(receiver, intake=None):
    socket, port = bind_unused_port()
    stopping = Stopping()
    server = PeerServer(receiver, intake=intake, stopping=stopping)
    link = PeerLink("b", "127.0.0.1", Member("a", "north", "127.0.0.1", port))
    async with contextlib.AsyncExitStack() as stack:
        await receiver.start()
        stack.push_async_callback(receiver.stop)
        server.add_socket(socket)
        await link.start()
        stack.push_async_callback(link.stop)
        yield StoppingPeer(receiver, stopping, server, link, port)


def test_call_is_refused_at_once_from_the_refusing_phase_on():
    # Guards against a call that begins although its instance ends before its answer:
    # the caller learns that only from its own timeout.
    async def run():
        async with stopping_peer(Stalled()) as peer:
            peer.stopping.end_now()
            for message in (SubmitStepJob(JOB), GetStepJob("a")):
                with pytest.raises(ShuttingDownError):
                    await asyncio.wait_for(peer.call(message), 0.2)
            assert not peer.receiver.received
            # Heartbeats still count: the leader may be another instance.
            peer.link.tell(TellOverLink(LeaderBeat(1, "b")))
            await wait_until(lambda: peer.receiver.received == [LeaderBeat(1, "b")])
            assert await peer.close() < 0.5

    asyncio.run(run())


def test_call_in_flight_is_answered_when_all_waits_end():
    # Guards against calls of other instances that wait until their instance is killed,
    # and against the answer "not run" to a change that may have taken effect.
    async def run():
        async with stopping_peer(Stalled()) as peer:
            change, read = peer.call(SubmitStepJob(JOB)), peer.call(GetStepJob("a"))
            await wait_until(lambda: len(peer.receiver.received) == 2)
            peer.stopping.begin(1_000)
            took_s = await peer.close()
            assert 0.6 < took_s < 0.95
            with pytest.raises(OutcomeUnknownError) as unknown:
                await change
            assert "the instance stops" in unknown.value.message
            with pytest.raises(ShuttingDownError):
                await read

    asyncio.run(run())


def test_close_refuses_calls_that_come_after_those_in_flight():
    # Guards against a server that goes on as long as other instances send calls to it.
    async def run():
        async with stopping_peer(Stalled()) as peer:
            first = peer.call(GetStepJob("a"))
            await wait_until(lambda: peer.receiver.received)
            peer.stopping.begin(1_000)
            closing = asyncio.ensure_future(peer.close())
            await asyncio.sleep(0.1)
            with pytest.raises(ShuttingDownError):
                await asyncio.wait_for(peer.call(GetStepJob("b")), 0.2)
            assert not first.done()
            assert await closing < 0.95
            with pytest.raises(ShuttingDownError):
                await first

    asyncio.run(run())


@pytest.mark.parametrize("message", [GetStepJob("a"), LeaderBeat(1, "b")])
def test_close_ends_without_a_signal_while_work_never_ends(message):
    # Guards against a process in which a part has failed, and that another instance
    # keeps from ending.
    class Blocked(Receiver):
        @handles(InboundMessage)
        async def _inbound(self, message):
            self.received.append(message.message)
            await release.wait()

    release = asyncio.Event()

    async def run():
        async with stopping_peer(Blocked()) as peer:
            if isinstance(message, LeaderBeat):
                peer.link.tell(TellOverLink(message))
            else:
                peer.call(message).add_done_callback(lambda done: done.exception())
            await wait_until(lambda: peer.receiver.received)
            try:
                assert await peer.close() < 2.5
            finally:
                release.set()

    asyncio.run(run())


def test_reply_is_sent_before_its_connection_is_closed():
    # Guards against an answer that is cut off in its middle, because the connection was
    # closed as soon as the reply was queued.
    row = StoredRow(RowId("jobs", "", "a"), b"x" * 1_000_000, 1)
    page = RowsPage((row,) * 3, 3)

    async def run():
        replier = Replier()
        replier.reply = page
        async with stopping_peer(replier) as peer:
            socket = await asyncio.get_running_loop().run_in_executor(
                None, create_connection, ("127.0.0.1", peer.port)
            )
            stream = IOStream(socket, max_buffer_size=2**25)
            read = ReadRows("jobs", "")
            # More than the buffers of the kernel hold.
            for number, frame in enumerate((Hello("b"), read, read)):
                data = serialize_frame(PeerFrame(number, frame))
                await stream.write(len(data).to_bytes(4, "big") + data)
            await wait_until(lambda: any(s.writing() for s in peer.server._streams))
            peer.stopping.end_now()
            closing = asyncio.ensure_future(peer.close())
            await asyncio.sleep(0.05)
            for _ in range(2):
                assert (await read_frame(stream)).body == page
            assert await closing < 0.5
            stream.close()

    asyncio.run(run())


def test_peer_that_does_not_read_does_not_hold_up_a_stop():
    # Guards against an instance that is killed, or ends late, since another one that is
    # paused does not take its replies.
    row = StoredRow(RowId("jobs", "", "a"), b"x" * 1_000_000, 1)

    async def run():
        replier = Replier()
        replier.reply = RowsPage((row,) * 3, 3)
        async with stopping_peer(replier) as peer:
            _, writer = await asyncio.open_connection("127.0.0.1", peer.port, limit=1)
            read = ReadRows("jobs", "")
            for number, frame in enumerate((Hello("b"), read, read)):
                data = serialize_frame(PeerFrame(number, frame))
                writer.write(len(data).to_bytes(4, "big") + data)
            await wait_until(lambda: any(s.writing() for s in peer.server._streams))
            peer.stopping.begin(6_000)
            assert 0.2 < await peer.close() < 0.6
            writer.close()

    asyncio.run(run())


def test_call_that_waits_for_a_slot_is_answered_when_all_waits_end(monkeypatch):
    # Guards against a call that was read and whose connection ends without an answer,
    # as it still waits behind others. It has not run, whatever it would have changed.
    monkeypatch.setattr(peerlink, "MAX_CALLS", 1)

    async def run():
        async with stopping_peer(Stalled()) as peer:
            first, second = (peer.call(SubmitStepJob(JOB)) for _ in range(2))
            await wait_until(lambda: peer.receiver.received)
            await asyncio.sleep(0.05)
            peer.stopping.begin(1_000)
            assert await peer.close() < 0.95
            with pytest.raises(OutcomeUnknownError) as unknown:
                await first
            assert "the instance stops" in unknown.value.message
            with pytest.raises(ShuttingDownError):
                await second
            assert len(peer.receiver.received) == 1

    asyncio.run(run())


def test_call_that_waits_for_its_turn_is_answered_when_all_waits_end():
    # Guards against the same for a call that came in a burst of frames.
    async def run():
        intake = Intake.from_config()
        # No turn is given.
        intake._turning = asyncio.get_running_loop().call_later(60, lambda: None)
        async with stopping_peer(Stalled(), intake) as peer:
            reader, writer = await asyncio.open_connection("127.0.0.1", peer.port)
            count = FRAMES_PER_TURN
            calls = [SubmitStepJob(JOB)] * count
            for number, frame in enumerate((Hello("b"), *calls)):
                data = serialize_frame(PeerFrame(number, frame))
                writer.write(len(data).to_bytes(4, "big") + data)
            await wait_until(lambda: intake._turns)
            begun = len(peer.receiver.received)
            assert begun < count
            peer.stopping.begin(1_000)
            assert await peer.close() < 0.95
            errors = []
            for _ in range(count):
                length = int.from_bytes(await reader.readexactly(4), "big")
                frame = parse_frame(await reader.readexactly(length))
                errors.append(type(frame.body))
            assert errors.count(OutcomeUnknownError) == begun
            assert errors.count(ShuttingDownError) == count - begun
            assert await reader.read() == b""
            writer.close()

    asyncio.run(run())


def test_only_messages_that_change_nothing_count_as_reads():
    # Guards against a change that is answered with "not run", and then runs twice.
    reads = (
        ReadRows("jobs", ""),
        WatchRows("jobs", 1, 1),
        FetchPart(1, 0, 1),
        GetStepJob("a"),
        CountPending("q"),
        RequestAdvice("a", 0, 0, ()),
        AskLeaderAge(),
    )
    changes = (SubmitStepJob(JOB), CancelStepJob("a"), CommitRows((), ()), object())
    assert {work_kind_of(message) for message in reads} == {WorkKind.READ}
    assert {work_kind_of(message) for message in changes} == {WorkKind.CHANGE}
