import asyncio

import pytest

from marjoramgrade.decisions.ownership import ShardRow
from marjoramgrade.errors import CheckFailedError
from marjoramgrade.messages import ShardFence, WriteJob
from marjoramgrade.model import Job, JobSpec, Kind, Outcome
from marjoramgrade.store import Store, failed_keys
from marjoramgrade.table import MemoryTable

SHARD = "leeds.0"
JOB = Job.from_spec("pack", JobSpec("acme", Kind.BATCH), SHARD)


def test_an_owner_cannot_write_jobs_after_the_next_takeover() -> None:
    """Guards against an end that a paused owner records behind the new owner."""

    async def run() -> None:
        store = Store(MemoryTable())
        first = ShardRow(SHARD).taken_by("a", ())
        version = await store.take_shard(first, 0)
        fence = ShardFence(SHARD, version)
        job_version = await store.commit_records([WriteJob(JOB, 0, fence)], [])
        renewed = await store.write_shard(first.renewed(()), version)
        ended = JOB.with_outcomes({0: Outcome.DONE})
        await store.take_shard(first.taken_by("b", ()), renewed)
        late = [WriteJob(ended, job_version, fence)]
        with pytest.raises(CheckFailedError) as caught:
            await store.commit_records(late, [])
        assert failed_keys(caught.value, late, []) == {"epochs/leeds.0"}
        stored = await store.read_job("pack")
        assert stored is not None and stored.job == JOB

    asyncio.run(run())


def test_a_renewal_does_not_fence_the_owner_off() -> None:
    """Guards against a fence that ends with the first renewal."""

    async def run() -> int:
        store = Store(MemoryTable())
        row = ShardRow(SHARD).taken_by("a", ())
        version = await store.take_shard(row, 0)
        await store.write_shard(row.renewed(()), version)
        return await store.commit_records(
            [WriteJob(JOB, 0, ShardFence(SHARD, version))], []
        )

    assert asyncio.run(run()) == 3
