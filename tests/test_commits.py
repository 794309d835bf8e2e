"""Tests of the group commits of the leader."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import SystemClock
from marjoramgrade.controllers import commits
from marjoramgrade.controllers.commits import (
    MAX_BATCH_BYTES,
    AdoptRowVersions,
    CommitController,
    SaveRows,
)
from marjoramgrade.errors import (
    NotOwnerError,
    RowsRejectedError,
    TableRequiredError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.messages.rows import CommitRows, RowCheck, RowId, RowWrite
from marjoramgrade.messages.steps import (
    LeadershipConfirmed,
    LeadershipEnded,
    StoreReachability,
)
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.steprows import EPOCH_ROW, RENEWAL_ROW
from tests.rowstore import MemoryRowStore

ROW = RowId("jobs", "p0", "a")
MAX_ROW_BYTES = 65_536


class Listener(Actor):
    def __init__(self):
        super().__init__()
        self.received = []

    def received_of(self, kind):
        return [message for message in self.received if isinstance(message, kind)]

    @handles(LeadershipConfirmed)
    async def _confirmed(self, message: LeadershipConfirmed) -> None:
        self.received.append(message)

    @handles(LeadershipEnded)
    async def _ended(self, message: LeadershipEnded) -> None:
        self.received.append(message)

    @handles(StoreReachability)
    async def _reachable(self, message: StoreReachability) -> None:
        self.received.append(message)


@contextlib.asynccontextmanager
async def leading(store=None):
    store = store or MemoryRowStore()
    listener = Listener()
    row = RowWrite(EPOCH_ROW, b"1")
    version = store.apply(CommitRows((), (row,))).version
    controller = CommitController(
        store,
        1,
        RowCheck(EPOCH_ROW, version),
        {},
        MAX_ROW_BYTES,
        MAX_BATCH_BYTES,
        SystemClock(),
        MemoryMetrics(),
        (listener,),
    )
    async with contextlib.AsyncExitStack() as stack:
        for actor in (store, listener, controller):
            await actor.start()
            stack.push_async_callback(actor.stop)
        yield store, controller, listener


def save(value, row=ROW, **kwargs):
    return SaveRows((RowWrite(row, value),), **kwargs)


def test_simultaneous_requests_share_a_transaction():
    # Guards against one transaction for each job, which the store would refuse.
    async def run():
        async with leading() as (store, controller, _):
            rows = [RowId("jobs", "p0", f"{n}") for n in range(20)]
            await asyncio.gather(*(controller.ask(save(b"x", row)) for row in rows))
            assert store.commits <= 2
            assert all(row in store.rows for row in rows)

    asyncio.run(run())


def test_lost_response_is_resolved_and_the_row_stays_writable():
    # Guards against a job that is stored but whose outcome stays unknown forever.
    async def run():
        async with leading() as (store, controller, _):
            store.mode = "lost"
            first = asyncio.ensure_future(controller.ask(save(b"one")))
            await asyncio.sleep(0.05)
            store.mode = "ok"
            await first
            await controller.ask(save(b"two"))
            assert store.rows[ROW].value == b"two"

    asyncio.run(run())


def test_resolved_write_shows_that_the_store_responds(monkeypatch):
    # Guards against jobs that are refused after an outage until the next write, because
    # the last write of the outage took effect and only its response was lost.
    monkeypatch.setattr(commits, "UNREACHABLE_MS", 100)
    monkeypatch.setattr(commits, "WATCH_MS", 20)

    class LateResponse(MemoryRowStore):
        @handles(CommitRows)
        async def _commit(self, message: CommitRows):
            self.commits += 1
            if self.commits == 1:
                self.apply(message)
                await asyncio.sleep(0.3)
                raise WriteOutcomeUnknownError("no response")
            return self.apply(message)

    async def run():
        async with leading(LateResponse()) as (_, controller, listener):
            await controller.ask(save(b"one"))
            assert [
                message.reachable
                for message in listener.received
                if isinstance(message, StoreReachability)
            ] == [False, True]
            assert any(isinstance(m, LeadershipConfirmed) for m in listener.received)
            await controller.ask(save(b"two", is_refusable=True))

    asyncio.run(run())


def test_write_that_arrives_late_does_not_undo_a_newer_one():
    # Guards against old progress that replaces newer progress.
    async def run():
        async with leading() as (store, controller, _):
            store.mode = "late"
            first = asyncio.ensure_future(controller.ask(save(b"old")))
            await asyncio.sleep(0.05)
            store.mode = "ok"
            await first
            await controller.ask(save(b"new"))
            store.apply_late()
            assert store.rows[ROW].value == b"new"

    asyncio.run(run())


def test_former_leader_writes_nothing():
    # Guards against two leaders that both change a job.
    async def run():
        async with leading() as (store, controller, listener):
            store.apply(CommitRows((), (RowWrite(EPOCH_ROW, b"2"),)))
            with pytest.raises(NotOwnerError):
                await controller.ask(save(b"x"))
            await asyncio.sleep(0.01)
            assert ROW not in store.rows
            assert LeadershipEnded(1, "another instance leads") in listener.received

    asyncio.run(run())


def test_row_that_this_leader_has_not_written_ends_its_lead():
    # Guards against a leader that has recovered an older state and overwrites newer
    # rows with it, so that tasks which were done run again.
    async def run():
        async with leading() as (store, controller, listener):
            store.apply(CommitRows((), (RowWrite(ROW, b"newer"),)))
            controller.tell(AdoptRowVersions({ROW: 1}))
            with pytest.raises(NotOwnerError):
                await controller.ask(save(b"older"))
            await asyncio.sleep(0.01)
            assert store.rows[ROW].value == b"newer"
            assert [m.epoch for m in listener.received_of(LeadershipEnded)] == [1]

    asyncio.run(run())


def test_row_that_this_leader_believes_to_be_absent_ends_its_lead():
    # Guards against the same fault with a job that the older state does not have.
    async def run():
        async with leading() as (store, controller, _):
            store.apply(CommitRows((), (RowWrite(ROW, b"newer"),)))
            controller.tell(AdoptRowVersions({}))
            with pytest.raises(NotOwnerError):
                await controller.ask(save(b"older"))
            assert store.rows[ROW].value == b"newer"

    asyncio.run(run())


def test_renewal_row_is_taken_over_before_the_state_is_recovered():
    # Guards against a new leader that ends its lead with its first renewal: the version
    # of that row is not known before the rows of the leadership have been read.
    async def run():
        async with leading() as (store, controller, _):
            store.apply(CommitRows((), (RowWrite(RENEWAL_ROW, b"1"),)))
            await controller.ask(save(b"2", RENEWAL_ROW))
            assert store.rows[RENEWAL_ROW].value == b"2"

    asyncio.run(run())


def test_unsent_job_is_refused_while_the_store_does_not_answer(monkeypatch):
    # Guards against clients that wait until their deadline for an unreachable store.
    monkeypatch.setattr(commits, "UNREACHABLE_MS", 50)
    monkeypatch.setattr(commits, "WATCH_MS", 10)

    async def run():
        async with leading() as (store, controller, listener):
            store.mode = "hang"
            stuck = asyncio.ensure_future(controller.ask(save(b"sent")))
            await asyncio.sleep(0.02)
            unsent = controller.ask(
                save(b"x", RowId("jobs", "p0", "b"), is_refusable=True)
            )
            with pytest.raises(TableRequiredError):
                await asyncio.wait_for(unsent, 1)
            assert not stuck.done()
            assert StoreReachability(False) in listener.received
            stuck.cancel()

    asyncio.run(run())


def test_row_is_removed_once():
    # Guards against a removal that fails because the row is already removed.
    async def run():
        async with leading() as (store, controller, _):
            await controller.ask(save(b"x"))
            remove = SaveRows((RowWrite(ROW, remove=True),))
            await controller.ask(remove)
            await controller.ask(remove)
            assert ROW not in store.rows

    asyncio.run(run())


async def commit_behind_slow_transaction(*saves):
    """Save rows during a slow transaction; return the row keys of each later one."""

    class Slow(MemoryRowStore):
        def __init__(self):
            super().__init__()
            self.batches = []

        @handles(CommitRows)
        async def _commit(self, message: CommitRows) -> object:
            async def answer():
                await asyncio.sleep(0.05)
                self.batches.append([write.row.key for write in message.writes])
                return self.apply(message)

            return self.spawn(answer())

    async with leading(Slow()) as (store, controller, _):
        asked = [asyncio.ensure_future(controller.ask(save(b"first")))]
        await asyncio.sleep(0.01)
        asked += [asyncio.ensure_future(controller.ask(each)) for each in saves]
        await asyncio.gather(*asked)
        return store.batches[1:]


def test_new_job_goes_before_the_progress_of_others():
    # Guards against clients that wait until their deadline while a slow store writes
    # the progress of all running jobs, 48 rows in 0.7 s (seen in kbwb-arrears-grown
    # trouble-2).
    progress = [save(b"p", RowId("progress", "p0", f"p{n}")) for n in range(120)]
    job = save(b"j", RowId("jobs", "p0", "new"), is_refusable=True)
    batches = asyncio.run(commit_behind_slow_transaction(*progress, job))
    assert len(batches) == 3
    assert "new" in batches[0]


def test_new_job_does_not_go_before_a_removal_of_its_row():
    # Guards against a job that is submitted again and whose new row is then removed by
    # the earlier removal of its old row.
    row = RowId("jobs", "p0", "again")
    remove = SaveRows((RowWrite(row, remove=True),))
    again = save(b"j", row, is_refusable=True)

    async def run():
        async with leading() as (store, controller, _):
            await controller.ask(save(b"old", row))
            asked = (
                asyncio.ensure_future(controller.ask(save(b"x"))),
                asyncio.ensure_future(controller.ask(remove)),
                asyncio.ensure_future(controller.ask(again)),
            )
            await asyncio.gather(*asked)
            assert store.rows[row].value == b"j"

    asyncio.run(run())


class StrictStore(MemoryRowStore):
    """A store that refuses transactions with an invalid row, as a whole."""

    @handles(CommitRows)
    async def _commit(self, message: CommitRows) -> object:
        self.commits += 1
        if any(write.value == b"invalid" for write in message.writes):
            raise RowsRejectedError("a value is invalid")
        return self.apply(message)


def test_row_that_the_store_refuses_leaves_the_others_of_its_batch():
    # Guards against a leader that stores nothing any more, while it is heard and plans,
    # because of one invalid row (seen in kbwb-arrears-large scale-1).
    async def run():
        async with leading(StrictStore()) as (store, controller, _):
            rows = [RowId("jobs", "p0", f"{n:02}") for n in range(30)]
            values = [b"invalid" if n in (7, 20) else b"x" for n in range(30)]
            answers = await asyncio.gather(
                *(
                    controller.ask(save(value, row))
                    for row, value in zip(rows, values, strict=True)
                )
            )
            for row, value, rejected in zip(rows, values, answers, strict=True):
                assert (row in store.rows) == (value == b"x")
                assert rejected == (frozenset() if value == b"x" else {row})
            assert await controller.ask(save(b"later")) == frozenset()

    asyncio.run(run())


def test_row_above_the_bound_is_not_sent():
    # Guards against transactions that the store refuses whole, as the roster of 273
    # workers in one row was (seen in kbwb-arrears-large scale-1).
    async def run():
        async with leading() as (store, controller, _):
            large = controller.ask(save(b"x" * (MAX_ROW_BYTES + 1)))
            exact = controller.ask(save(b"x" * MAX_ROW_BYTES, RowId("jobs", "p0", "b")))
            assert await large == {ROW}
            assert await exact == frozenset()
            assert ROW not in store.rows

    asyncio.run(run())


def test_requests_on_their_way_fail_when_the_controller_stops():
    # Guards against clients that wait until their deadline for a leader that has ended.
    async def run():
        async with leading() as (store, controller, _):
            store.mode = "hang"
            sent = asyncio.ensure_future(controller.ask(save(b"x")))
            await asyncio.sleep(0.02)
        with pytest.raises(NotOwnerError):
            await asyncio.wait_for(sent, 1)

    asyncio.run(run())


def test_unexpected_error_of_the_store_reaches_on_fatal():
    # Guards against a leader whose writes have ended and which nobody replaces.
    class Broken(MemoryRowStore):
        @handles(CommitRows)
        async def _commit(self, message: CommitRows) -> object:
            raise ArithmeticError("unexpected")

    async def run():
        async with leading(Broken()) as (_, controller, _):
            failures = []
            controller.on_fatal = failures.append
            controller.tell(save(b"x"))
            async with asyncio.timeout(2):
                while not failures:
                    await asyncio.sleep(0.01)

    asyncio.run(run())
