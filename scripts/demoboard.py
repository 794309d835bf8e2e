"""Tracks the latest state of each job of the demo from the watch."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from typing import Any

import attrs

from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.api import Client
from marjoramgrade.documents import Document
from marjoramgrade.watchclient import WatchEvent, WatchResetError

JobTest = Callable[[Document], bool]


@attrs.frozen
class EventReceived(Message[None]):
    """Reports an event of the watch."""

    event: WatchEvent


@attrs.frozen
class AwaitJob(Message[Document]):
    """Waits until the latest state of a job passes a test; returns the state."""

    job_id: str
    is_reached: JobTest


@attrs.define
class _Waiter:
    job_id: str
    is_reached: JobTest
    reached: asyncio.Future[Document]


class JobTracker(Actor):
    """Follows the watch, prints each change and replies to waiting callers.

    Args:
        client: Client with the operators' key, which reads the watch.
        show: Prints a line.
    """

    def __init__(self, client: Client, show: Callable[[str], None]) -> None:
        super().__init__()
        self._client = client
        self._show = show
        self._document_by_job: dict[str, Document] = {}
        self._waiters: list[_Waiter] = []

    async def on_start(self) -> None:
        """Start to follow the watch."""
        self.spawn(self._follow())

    @handles(EventReceived)
    async def _process_event(self, message: EventReceived) -> None:
        event = message.event
        document = event.document or {}
        if event.kind == "config":
            self._show(f"watch: configuration version {document.get('version')}")
            return
        self._show(f"watch: {describe_job(document)}")
        self._document_by_job[event.name] = document
        for waiter in self._waiters:
            self._resolve(waiter)
        self._waiters = [w for w in self._waiters if not w.reached.done()]

    @handles(AwaitJob)
    async def _await_job(self, message: AwaitJob) -> Any:
        reached = asyncio.get_running_loop().create_future()
        waiter = _Waiter(message.job_id, message.is_reached, reached)
        self._resolve(waiter)
        if not reached.done():
            self._waiters.append(waiter)
        return reached

    def _resolve(self, waiter: _Waiter) -> None:
        document = self._document_by_job.get(waiter.job_id)
        if document and not waiter.reached.done() and waiter.is_reached(document):
            waiter.reached.set_result(document)

    async def _follow(self) -> None:
        after: int | None = None
        while True:
            try:
                async for event in self._client.watch(after):
                    self.tell(EventReceived(event))
            except WatchResetError as reset:
                self._show(f"watch: changes were missed up to {reset.version}")
                after = reset.version


def describe_job(document: Document) -> str:
    """Return one line with the state of a job, its tasks and the reason."""
    outcomes = str(document["outcomes"])
    ended = len(outcomes) - outcomes.count(".")
    return (
        f"job {document['job_id']} is {document['state']} in {document['shard']}, "
        f"{ended} of {len(outcomes)} tasks ended: {document['reason']}"
    )


def describe_tasks(tasks: tuple[Document, ...]) -> str:
    """Return one line with the number of tasks for each state and reason."""
    counts = collections.Counter(
        f"{task['state']} ({task['reason']})" for task in tasks
    )
    return "; ".join(f"{count} {state}" for state, count in counts.items())
