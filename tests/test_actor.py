import asyncio
import contextlib
import gc
import pathlib
import re
import weakref
from typing import Any

import attrs
import pytest

from marjoramgrade import actor as actor_module
from marjoramgrade.actor import Actor, ActorGroup, Message, handles
from marjoramgrade.errors import (
    InvalidInputError,
    NotFoundError,
    OverloadedError,
    Ran,
    ShuttingDownError,
    WorkCancelledError,
)


@attrs.frozen
class Double(Message[int]):
    value: int


@attrs.frozen
class Fail(Message[None]):
    pass


@attrs.frozen
class Slow(Message[str]):
    gate: asyncio.Event


class Doubler(Actor):
    @handles(Double)
    async def _double(self, message: Double) -> int:
        return 2 * message.value

    @handles(Fail)
    async def _fail(self, message: Fail) -> None:
        raise NotFoundError("nothing here")

    @handles(Slow)
    async def _slow(self, message: Slow) -> object:
        async def wait() -> str:
            await message.gate.wait()
            return "late"

        return self.spawn(wait())


def test_each_sender_gets_the_reply_to_its_own_message() -> None:
    """Guards against replies that reach another sender (invariant 6)."""

    async def run() -> list[int]:
        actor = Doubler()
        await actor.start()
        replies = await asyncio.gather(*(actor.ask(Double(n)) for n in range(20)))
        await actor.stop()
        return replies

    assert asyncio.run(run()) == [2 * n for n in range(20)]


def test_a_handler_error_reaches_the_sender_and_the_actor_continues() -> None:
    """Guards against an actor that stops after one failed message."""

    async def run() -> int:
        actor = Doubler()
        await actor.start()
        with pytest.raises(NotFoundError):
            await actor.ask(Fail())
        result = await actor.ask(Double(4))
        await actor.stop()
        with pytest.raises(ShuttingDownError):
            actor.tell(Double(1))
        return result

    assert asyncio.run(run()) == 8


def test_a_waiting_handler_does_not_block_the_mailbox() -> None:
    """Guards against one slow message that blocks all later ones."""

    async def run() -> tuple[int, str]:
        actor = Doubler()
        await actor.start()
        gate = asyncio.Event()
        slow = asyncio.ensure_future(actor.ask(Slow(gate)))
        quick = await actor.ask(Double(1))
        gate.set()
        late = await slow
        await actor.stop()
        return quick, late

    assert asyncio.run(run()) == (2, "late")


class Failing(Actor):
    async def on_start(self) -> None:
        self.spawn_critical(self._loop())

    async def _loop(self) -> None:
        raise RuntimeError("a bug in the loop")


class Waiting(Actor):
    """Works on each message until it is stopped."""

    @handles(Double)
    async def _double(self, message: Double) -> Any:
        return self.spawn(asyncio.sleep(3_600))


def test_work_that_a_stop_cuts_off_has_an_unknown_outcome() -> None:
    """Guards against a sender that takes work that had begun for never begun."""

    async def run() -> None:
        actor = Waiting()
        await actor.start()
        reply = asyncio.ensure_future(actor.ask(Double(1)))
        await asyncio.sleep(0.01)
        await actor.stop()
        with pytest.raises(WorkCancelledError) as cancelled:
            await reply
        assert cancelled.value.ran is Ran.UNKNOWN
        with pytest.raises(ShuttingDownError) as refused:
            await actor.ask(Double(1))
        assert refused.value.ran is Ran.NO

    asyncio.run(run())


def test_a_loop_that_fails_is_reported_to_the_group() -> None:
    """Guards against an instance that holds leases but has lost a critical task."""

    async def run() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with ActorGroup() as group:
            await group.add(Failing())
            await asyncio.wait_for(group.failed.wait(), 5)

    asyncio.run(run())


def test_the_failure_of_every_started_actor_leads_somewhere():
    # Guards against a half-dead process: an actor that another one starts, and whose
    # failure only the event loop hears of.
    missing = []
    for path in sorted(pathlib.Path("marjoramgrade").rglob("*.py")):
        if path.name == "actor.py":
            continue
        lines = path.read_text(encoding="utf-8").splitlines()
        for number, line in enumerate(lines):
            found = re.search(r"await (\w+)\.start\(\)", line)
            before = "\n".join(lines[max(number - 12, 0) : number])
            if found and f"{found[1]}.on_fatal = " not in before:
                missing.append(f"{path}:{number + 1}")
    assert not missing


def test_work_for_a_sender_that_stops_waiting_is_cancelled():
    # Guards against reads that nobody waits for and that keep their connections.
    class Worker(Actor):
        @handles(Double)
        async def _work(self, message: Double) -> object:
            self.task = self.spawn_for_sender(asyncio.sleep(60))
            return self.task

        @handles(Slow)
        async def _work_to_the_end(self, message: Slow) -> object:
            self.task = self.spawn(asyncio.sleep(60))
            return self.task

    async def run():
        worker = Worker()
        await worker.start()
        for message, is_cancelled in (
            (Double(1), True),
            (Slow(asyncio.Event()), False),
        ):
            asked = asyncio.ensure_future(worker.ask(message))
            await asyncio.sleep(0.01)
            asked.cancel()
            await asyncio.sleep(0.01)
            assert worker.task.cancelled() == is_cancelled
        await worker.stop()

    asyncio.run(run())


def test_failed_message_is_freed_at_once():
    # Guards against large messages that stay in memory until the next garbage
    # collection, which counts objects and not bytes, after they were refused.
    class Payload:
        pass

    class Refuse(Message):
        def __init__(self, payload):
            self.payload = payload

    class Refusing(Actor):
        @handles(Refuse)
        async def _refuse(self, message):
            return self.spawn(self._fail(message))

        async def _fail(self, message):
            try:
                raise InvalidInputError("no")
            except InvalidInputError as error:
                refusal = OverloadedError(f"refused: {message.payload}")
                raise refusal from error

    async def ask(actor, payload):
        with contextlib.suppress(OverloadedError):
            await actor.ask(Refuse(payload))

    async def run():
        actor = Refusing()
        await actor.start()
        payload = Payload()
        payload_ref = weakref.ref(payload)
        gc.disable()
        try:
            await ask(actor, payload)
            del payload
            await asyncio.sleep(0)
            assert payload_ref() is None
        finally:
            gc.enable()
            await actor.stop()

    asyncio.run(run())


@attrs.frozen
class Break(Message[None]):
    subject = "w7"


class Breaking(Doubler):
    @handles(Break)
    async def _break(self, message: Break) -> None:
        raise ArithmeticError("a bug in the handler")


def test_failure_names_the_actor_the_message_and_what_it_is_about():
    # Guards against the exit of a process whose log does not tell which of its inputs
    # caused it.
    async def run():
        failures = []
        actor = Breaking("shard-3")
        actor.on_fatal = failures.append
        await actor.start()
        actor.tell(Break())
        await asyncio.sleep(0.01)
        await actor.stop()
        (failure,) = failures
        assert (failure.actor, failure.subject) == ("Breaking", "w7")
        assert failure.work == "Break"
        assert "a bug in the handler" in failure.reason
        assert "test_actor.py" in failure.reason

    asyncio.run(run())


def test_background_task_that_fails_is_named():
    async def run():
        failures = []
        actor = Failing("w8")
        actor.on_fatal = failures.append
        await actor.start()
        await asyncio.sleep(0.01)
        await actor.stop()
        (failure,) = failures
        assert (failure.actor, failure.subject) == ("Failing", "w8")
        assert failure.work == "_loop"

    asyncio.run(run())


def test_actor_whose_mailbox_has_failed_stops_and_answers_its_senders():
    # Guards against an owner that waits without end for an actor that it replaces, and
    # against senders whose call to it is never answered.
    stopped = []

    class Closing(Breaking):
        async def on_stop(self) -> None:
            stopped.append(self)

    async def run():
        actor = Closing()
        actor.on_fatal = lambda failure: None
        await actor.start()
        actor.tell(Break())
        await asyncio.sleep(0.01)
        call = asyncio.ensure_future(actor.ask(Double(1)))
        with contextlib.suppress(OverloadedError):
            while True:
                actor.tell(Double(2))
        async with asyncio.timeout(2):
            await actor.stop()
            with pytest.raises(ShuttingDownError):
                await call
        assert stopped == [actor]

    asyncio.run(run())


def test_report_to_a_full_mailbox_arrives_once_there_is_room(monkeypatch):
    # Guards against a link that has failed and is never replaced, since its owner was
    # overloaded at that moment.
    monkeypatch.setattr(actor_module, "MAILBOX_SIZE", 1)
    handled = []

    class Owner(Actor):
        @handles(Double)
        async def _double(self, message: Double) -> None:
            handled.append(message.value)

    async def run():
        owner = Owner()
        owner.tell(Double(1))
        with pytest.raises(OverloadedError):
            owner.tell(Double(2))
        owner.tell_soon(Double(3))
        await owner.start()
        async with asyncio.timeout(2):
            while 3 not in handled:
                await asyncio.sleep(0.01)
        await owner.stop()
        owner.tell_soon(Double(4))
        assert handled == [1, 3]

    asyncio.run(run())
