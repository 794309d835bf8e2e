import asyncio

import pytest

from marjoramgrade.actor import ActorGroup
from marjoramgrade.controllers.watch import EndWatches, Subscribe, WatchController
from marjoramgrade.errors import ShuttingDownError
from marjoramgrade.messages.configuration import ConfigConfirmed
from marjoramgrade.messages.jobs import JobsChanged, StoredJob
from marjoramgrade.model import Config, Job, JobKind, JobSpec

SPEC = JobSpec("acme", JobKind.BATCH)


def jobs(read_version: int, *versions: int) -> JobsChanged:
    stored = [StoredJob(Job.from_spec(f"j{v}", SPEC, "z.0"), v) for v in versions]
    return JobsChanged(tuple(stored), read_version)


def config(read_version: int, row_version: int) -> ConfigConfirmed:
    return ConfigConfirmed(Config(row_version), 0, row_version, read_version)


async def read_events(
    watch: WatchController, after: int | None
) -> list[tuple[str, int]]:
    """Return the events that a watch after a version receives at once."""
    subscription = await watch.ask(Subscribe(after))
    subscription.close()
    events = await subscription.next_events()
    return [(event.kind, event.version) for event in events]


def test_a_resumed_watch_gets_a_late_change_with_a_lower_version() -> None:
    """Guards against a late change that a watch misses when it resumes."""

    async def run() -> None:
        watch = WatchController()
        async with ActorGroup() as actors:
            await actors.add(watch)
            for message in (config(1, 1), jobs(1), jobs(9, 7, 9)):
                watch.tell(message)
            before = await read_events(watch, 0)
            assert before == [("config", 1)]
            watch.tell(config(10, 8))
            assert await read_events(watch, before[-1][1]) == [
                ("job", 7),
                ("config", 8),
                ("job", 9),
            ]
            # Without a start version, the watch starts at the last published version,
            # after which no change with a lower version follows.
            assert await read_events(watch, None) == [("reset", 9)]

    asyncio.run(run())


def test_a_watch_gets_nothing_that_it_saw_from_another_instance() -> None:
    """Guards against a change delivered again by an instance that is behind."""

    async def run() -> None:
        watch = WatchController()
        async with ActorGroup() as actors:
            await actors.add(watch)
            for message in (config(1, 1), jobs(1)):
                watch.tell(message)
            subscription = await watch.ask(Subscribe(5))
            for message in (jobs(6, 4, 6), config(6, 1)):
                watch.tell(message)
            await watch.ask(Subscribe(0))
            subscription.close()
            assert [e.version for e in await subscription.next_events()] == [6]

    asyncio.run(run())


def test_a_stop_ends_watches_and_refuses_new_ones() -> None:
    """Guards against a watch that begins while its instance stops and is cut off."""

    async def run() -> None:
        watch = WatchController()
        async with ActorGroup() as actors:
            await actors.add(watch)
            subscription = await watch.ask(Subscribe(None))
            assert [e.kind for e in await subscription.next_events()] == ["reset"]
            await watch.ask(EndWatches())
            with pytest.raises(ShuttingDownError):
                await asyncio.wait_for(subscription.next_events(), 5)
            with pytest.raises(ShuttingDownError):
                await watch.ask(Subscribe(None))

    asyncio.run(run())
