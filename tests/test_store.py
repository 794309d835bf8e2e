"""Reads and writes of the store with an in-memory table."""

import asyncio

import pytest

from marjoramgrade.decisions.ownership import ShardRow
from marjoramgrade.errors import CheckFailedError
from marjoramgrade.messages.jobs import ShardFence, WriteJob
from marjoramgrade.model import Config, Job, JobKind, JobSpec, Outcome, Team
from marjoramgrade.store import Store, failed_keys
from marjoramgrade.table import MemoryTable, RowsPage

FIRST = Config(1, {"acme": Team("acme")})
SECOND = Config(2, {"acme": Team("acme", share=2)})
SHARD = "leeds.0"
JOB = Job.from_spec("pack", JobSpec("acme", JobKind.BATCH), SHARD)


class RecordingTable(MemoryTable):
    """Counts the rows of each response; can respond from an older state."""

    def __init__(self) -> None:
        super().__init__()
        self.rows_read: list[int] = []
        self.older: MemoryTable | None = None

    async def changes(self, prefix: str, after: int = 0) -> RowsPage:
        source = self if self.older is None else self.older
        page = source.scan(prefix, after)
        self.rows_read.append(len(page.rows))
        return page


def test_an_unchanged_configuration_is_not_read_again() -> None:
    """Guards against every instance reading the 22 KB row every second."""

    async def run() -> None:
        table = RecordingTable()
        reader, writer = Store(table), Store(table)
        assert (await reader.read_config()).config == Config()
        version = await writer.write_config(FIRST, 0)
        assert (await reader.read_config()).config == FIRST
        assert (await reader.read_config()).config == FIRST
        await writer.write_config(SECOND, version)
        assert (await reader.read_config()).config == SECOND
        assert table.rows_read == [0, 1, 0, 1]

    asyncio.run(run())


def test_an_answer_from_an_older_state_shows_the_older_configuration() -> None:
    """Guards against an older state that confirms a newer configuration as current."""

    async def run() -> None:
        table = RecordingTable()
        store = Store(table)
        version = await store.write_config(FIRST, 0)
        older = MemoryTable()
        await Store(older).write_config(FIRST, 0)
        await store.write_config(SECOND, version)
        assert (await store.read_config()).config == SECOND
        table.older = older
        assert (await store.read_config()).config == FIRST
        table.older = None
        assert (await store.read_config()).config == SECOND

    asyncio.run(run())


def test_an_owner_cannot_write_jobs_after_the_next_takeover() -> None:
    """Guards against a paused owner that writes a job's end after a takeover."""

    async def run() -> None:
        store = Store(MemoryTable())
        first = ShardRow(SHARD).taken_over_by("a", ())
        version = await store.take_over_shard(first, 0)
        fence = ShardFence(SHARD, version)
        job_version = await store.commit_records([WriteJob(JOB, 0, fence)], [])
        renewed = await store.write_shard(first.renewed(()), version)
        ended = JOB.with_outcomes({0: Outcome.DONE})
        await store.take_over_shard(first.taken_over_by("b", ()), renewed)
        late = [WriteJob(ended, job_version, fence)]
        with pytest.raises(CheckFailedError) as caught:
            await store.commit_records(late, [])
        assert failed_keys(caught.value, late, []) == {"epochs/leeds.0"}
        stored = await store.read_job("pack")
        assert stored is not None and stored.job == JOB

    asyncio.run(run())


def test_a_renewal_does_not_fence_the_owner_off() -> None:
    """Guards against a fencing token that the first lease renewal invalidates."""

    async def run() -> int:
        store = Store(MemoryTable())
        row = ShardRow(SHARD).taken_over_by("a", ())
        version = await store.take_over_shard(row, 0)
        await store.write_shard(row.renewed(()), version)
        return await store.commit_records(
            [WriteJob(JOB, 0, ShardFence(SHARD, version))], []
        )

    assert asyncio.run(run()) == 3
