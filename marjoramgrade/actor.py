"""Tasks that own their state and talk by messages.

An actor runs one asyncio task, which handles the messages of its mailbox one at a
time. No other task reads or writes the actor's state. Handlers are registered
by message type with the `handles` decorator.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import traceback
import typing
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar, Generic, TypeVar

import attrs
from tornado.queues import Queue

from marjoramgrade import logs
from marjoramgrade.errors import (
    MarjoramgradeError,
    OverloadedError,
    ShuttingDownError,
    WorkCancelledError,
    drop_frames,
)

R = TypeVar("R")
MAILBOX_SIZE = 10_000
# Characters of an error in a log line.
MAX_REASON_LENGTH = 200
# Innermost places of a traceback in a log line.
MAX_PLACES = 3
# Pause before another attempt to put a message into a full mailbox.
FULL_MAILBOX_RETRY_MS = 50
# Share of the time left to its process that an actor may take to stop, so that those
# that stop after it have some as well.
STOP_SHARE = 0.5
# Replies of an actor that has stopped, before or after it began with a message.
STOPPED_ERRORS = (ShuttingDownError, WorkCancelledError)

Handler = Callable[[Any, Any], Awaitable[Any]]
_HANDLED_TYPE = "__handled_message_type__"


class Message(Generic[R]):
    """Base class of messages; the parameter is the type of the reply.

    Attributes:
        reply_types: The types that a reply from another instance may have.
        other_reply_types: Types of replies that the parameter does not name.
    """

    __slots__ = ()

    reply_types: ClassVar[tuple[type, ...]] = (object,)
    other_reply_types: ClassVar[tuple[type, ...]] = ()

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        for base in vars(cls).get("__orig_bases__", ()):
            if typing.get_origin(base) is Message:
                (declared,) = typing.get_args(base)
                kind = typing.get_origin(declared) or declared
                known = kind if isinstance(kind, type) else object
                cls.reply_types = (known, *cls.other_reply_types)

    @property
    def subject(self) -> str:
        """Id of the one worker or other object that the message is about, or empty."""
        return ""


def handles(
    message_type: type[Message[R]],
) -> Callable[[Callable[[Any, Any], Awaitable[R]]], Callable[[Any, Any], Awaitable[R]]]:
    """Return a decorator that marks a method as the handler of a message type."""

    def mark(
        method: Callable[[Any, Any], Awaitable[R]],
    ) -> Callable[[Any, Any], Awaitable[R]]:
        setattr(method, _HANDLED_TYPE, message_type)
        return method

    return mark


def describe_error(error: BaseException) -> str:
    """Return an error and the innermost places of its traceback, for the log."""
    frames = traceback.extract_tb(error.__traceback__)[-MAX_PLACES:]
    places = [f"{pathlib.Path(f.filename).name}:{f.lineno}" for f in frames]
    return " ".join((f"{error!r:.{MAX_REASON_LENGTH}}", *places))


@attrs.frozen
class ActorFailure:
    """An error that is not one of the project's own, and that ended work of an actor.

    Attributes:
        actor: Type of the actor.
        subject: Id of the one worker or other object that the actor or the message is
            about, or empty.
        work: Type of the message, or name of the background task.
        error: The error.
    """

    actor: str
    subject: str
    work: str
    error: BaseException

    @property
    def reason(self) -> str:
        """The error and the innermost places of its traceback."""
        return describe_error(self.error)

    def log(self, event: str, **fields: object) -> None:
        """Write a log line that names what the failed work was about."""
        logs.log_event(
            event,
            actor=self.actor,
            subject=self.subject,
            work=self.work,
            reason=self.reason,
            **fields,
        )


@attrs.define
class _Envelope:
    """A message and the future for its reply, None if it was sent with `tell`."""

    message: Message[Any]
    reply: asyncio.Future[Any] | None


class Actor:
    """One task with a mailbox.

    Subclasses store their state in private attributes and change it only in
    handlers and in `on_start`, `on_stop` and the actor's own background tasks.
    A handler that must wait returns a future, usually from `spawn`: the actor then
    handles further messages, and the sender gets the result of the future.

    Args:
        subject: Id of the one worker or other object that the actor is about, or empty.

    Attributes:
        on_fatal: Called with the failure that ended the mailbox task or a critical
            background task. Whoever starts the actor decides how far it reaches: an
            `ActorGroup` ends the process, the owner of an actor about one worker or
            peer replaces that actor.
    """

    _handler_by_type: ClassVar[dict[type, Handler]] = {}

    def __init_subclass__(cls, **kwargs: Any) -> None:
        super().__init_subclass__(**kwargs)
        handlers = dict(cls._handler_by_type)
        for member in vars(cls).values():
            message_type = getattr(member, _HANDLED_TYPE, None)
            if message_type is not None:
                handlers[message_type] = member
        cls._handler_by_type = handlers

    def __init__(self, subject: str = "") -> None:
        self._subject = subject
        # Bounded by `_put`, so that there is always room for the end of the mailbox.
        self._mailbox: Queue[_Envelope | None] = Queue()
        self._background_tasks: set[asyncio.Task[Any]] = set()
        self._tasks_for_senders: set[asyncio.Future[Any]] = set()
        self._runner: asyncio.Task[None] | None = None
        self._stopped = False
        self._failed_message: Message[Any] | None = None
        # Type of the message that is being handled, or empty.
        self._handling = ""
        self.on_fatal: Callable[[ActorFailure], None] = _report_to_event_loop

    async def start(self) -> None:
        """Start the actor's task."""
        await self.on_start()
        self._runner = asyncio.create_task(
            self._serve_mailbox(), name=type(self).__name__
        )
        self._runner.add_done_callback(self._check_fatal)

    def spawn_critical(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run a background task whose failure is reported to `on_fatal`.

        An instance that continued without such a task would hold leases that it
        does not serve.
        """
        task = self.spawn(work)
        task.add_done_callback(self._check_fatal)
        return task

    def _check_fatal(self, task: asyncio.Task[Any]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        if error is None or isinstance(error, STOPPED_ERRORS):
            return
        failed = self._failed_message
        if task is self._runner and failed is not None:
            work, subject = type(failed).__name__, failed.subject
        else:
            work, subject = getattr(task.get_coro(), "__name__", ""), ""
        self.on_fatal(
            ActorFailure(type(self).__name__, subject or self._subject, work, error)
        )

    @property
    def unfinished(self) -> list[str]:
        """The message that is being handled, and the background tasks that run."""
        tasks = [task for task in self._background_tasks if not task.done()]
        names = [getattr(task.get_coro(), "__name__", "") for task in tasks]
        return [*filter(None, (self._handling,)), *sorted(names)]

    async def stop(self) -> None:
        """Handle the messages in the mailbox, then cancel the background tasks.

        If the mailbox task has failed, the senders that wait are told so instead.
        """
        if self._stopped:
            return
        self._stopped = True
        self._mailbox.put_nowait(None)
        if self._runner is not None:
            await asyncio.wait((self._runner,))
        self._refuse_waiting()
        tasks = list(self._background_tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            # Unlike `gather`, it ends when it is cancelled, whatever the tasks do.
            await asyncio.wait(tasks)
        for task in tasks:
            if not task.cancelled():
                task.exception()
        await self.on_stop()

    def _refuse_waiting(self) -> None:
        """Fail the messages that the mailbox task has not begun with."""
        while self._mailbox.qsize():
            envelope = self._mailbox.get_nowait()
            reply = envelope and envelope.reply
            if reply and not reply.done():
                reply.set_exception(
                    ShuttingDownError(f"{type(self).__name__} has failed")
                )

    def tell(self, message: Message[Any]) -> None:
        """Put a message into the mailbox without waiting for a reply.

        Raises:
            OverloadedError: If the mailbox is full.
            ShuttingDownError: If the actor has stopped.
        """
        self._put(_Envelope(message, None))

    def tell_soon(self, message: Message[Any]) -> None:
        """Put a message into the mailbox as soon as there is room, unless it stops.

        For reports that would otherwise be lost, such as the end of another actor.
        """
        try:
            self.tell(message)
        except ShuttingDownError:
            return
        except OverloadedError:
            loop = asyncio.get_running_loop()
            loop.call_later(FULL_MAILBOX_RETRY_MS / 1000, self.tell_soon, message)

    async def ask(self, message: Message[R]) -> R:
        """Put a message into the mailbox and wait for the handler's result.

        Raises:
            OverloadedError: If the mailbox is full.
            ShuttingDownError: If the actor has stopped.
            WorkCancelledError: If the actor stops while it works on the message.
            MarjoramgradeError: Whatever the handler raises.
        """
        reply: asyncio.Future[R] = asyncio.get_running_loop().create_future()
        self._put(_Envelope(message, reply))
        try:
            return await reply
        finally:
            # A reply that is an error refers to this frame; see `drop_frames`.
            del reply

    def spawn(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run a background task that is cancelled when the actor stops."""
        task = asyncio.ensure_future(work)
        self._background_tasks.add(task)
        task.add_done_callback(self._background_tasks.discard)
        return task

    def spawn_for_sender(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Run a background task that is cancelled once the sender stops waiting.

        A handler returns it. Only for work that changes nothing, such as a read.
        """
        task = self.spawn(work)
        self._tasks_for_senders.add(task)
        task.add_done_callback(self._tasks_for_senders.discard)
        return task

    async def on_start(self) -> None:
        """Prepare the actor before its first message."""

    async def on_stop(self) -> None:
        """Release what the actor owns after its last message."""

    def on_failure(self, message: Message[Any], error: MarjoramgradeError) -> None:
        """Handle the failure of a message that was sent with `tell`."""

    async def contain_failure(self, message: Message[Any], error: Exception) -> bool:
        """Limit what an unexpected error of a handler reaches.

        Called for messages that were sent with `tell`.

        Returns:
            Whether the actor can go on. Otherwise its mailbox task ends, since the
            handler may have left the state half changed.
        """
        return False

    def _put(self, envelope: _Envelope) -> None:
        if self._stopped:
            raise ShuttingDownError(f"{type(self).__name__} has stopped")
        if self._mailbox.qsize() >= MAILBOX_SIZE:
            raise OverloadedError(f"the mailbox of {type(self).__name__} is full")
        self._mailbox.put_nowait(envelope)

    async def _serve_mailbox(self) -> None:
        while True:
            envelope = await self._mailbox.get()
            if envelope is None:
                return
            self._handling = type(envelope.message).__name__
            await self._handle(envelope)
            self._handling = ""
            # Not kept while the mailbox is empty.
            del envelope

    async def _handle(self, envelope: _Envelope) -> None:
        handler = self._handler_by_type[type(envelope.message)]
        try:
            result = await handler(self, envelope.message)
        except MarjoramgradeError as error:
            if envelope.reply is None:
                self.on_failure(envelope.message, error)
            elif not envelope.reply.done():
                envelope.reply.set_exception(drop_frames(error))
            return
        except Exception as error:
            if envelope.reply is not None and not envelope.reply.done():
                envelope.reply.set_exception(error)
                return
            if await self.contain_failure(envelope.message, error):
                return
            self._failed_message = envelope.message
            raise
        if envelope.reply is None:
            return
        if isinstance(result, asyncio.Future):
            result.add_done_callback(lambda done: _forward_result(done, envelope.reply))
            if result in self._tasks_for_senders:
                envelope.reply.add_done_callback(
                    lambda reply: reply.cancelled() and result.cancel()
                )
        elif not envelope.reply.done():
            envelope.reply.set_result(result)


def _forward_result(
    source: asyncio.Future[Any], target: asyncio.Future[Any] | None
) -> None:
    if target is None or target.done():
        # The sender no longer waits; retrieving the exception prevents asyncio
        # from logging it as never retrieved.
        if not source.cancelled():
            source.exception()
        return
    if source.cancelled():
        target.set_exception(WorkCancelledError("the work was cancelled"))
    elif (error := source.exception()) is not None:
        if isinstance(error, MarjoramgradeError):
            drop_frames(error)
        target.set_exception(error)
    else:
        target.set_result(source.result())


def _report_to_event_loop(failure: ActorFailure) -> None:
    context = {
        "message": f"{failure.work} of {failure.actor} {failure.subject} has failed",
        "exception": failure.error,
    }
    asyncio.get_running_loop().call_exception_handler(context)


class ActorGroup(contextlib.AsyncExitStack):
    """An exit stack that starts actors and stops them in reverse order.

    Args:
        get_left_ms: Returns the time left until the process is killed, None if that is
            not known. An actor that does not stop in its share of it is left behind.

    Attributes:
        failed: Set when the mailbox task or a critical background task of one of
            the actors has failed.
        closing: Name of the part that is being closed, or empty.
    """

    def __init__(self, get_left_ms: Callable[[], int | None] = lambda: None) -> None:
        super().__init__()
        self._get_left_ms = get_left_ms
        self.failed = asyncio.Event()
        self.closing = ""

    async def add(self, actor: Actor) -> None:
        """Start an actor and stop it when the group closes."""
        actor.on_fatal = self._fail
        await actor.start()
        self.push_part(type(actor).__name__, lambda: self._stop(actor))

    async def _stop(self, actor: Actor) -> None:
        left_ms = self._get_left_ms()
        wait_s = None if left_ms is None else max(left_ms, 0) * STOP_SHARE / 1_000
        try:
            async with asyncio.timeout(wait_s) as wait:
                await actor.stop()
        except TimeoutError:
            if not wait.expired():
                raise
            logs.log_event(
                "actor_not_stopped",
                actor=type(actor).__name__,
                work=",".join(actor.unfinished),
            )

    def push_part(self, name: str, close: Callable[[], Awaitable[object]]) -> None:
        """Close a part when the group closes, and name it in `closing` meanwhile."""

        async def close_part() -> None:
            self.closing = name
            await close()
            self.closing = ""

        self.push_async_callback(close_part)

    def _fail(self, failure: ActorFailure) -> None:
        failure.log("actor_failed")
        self.failed.set()
