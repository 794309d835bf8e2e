import asyncio

from marjoramgrade.actor import Actor, ActorGroup
from marjoramgrade.clock import ManualClock
from marjoramgrade.controllers.jobs import JobsController
from marjoramgrade.decisions.outcomes import PendingOutcomes
from marjoramgrade.messages.jobs import GetTasks, TaskStatus, WriteJob
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.model import Job, JobKind, JobSpec, Outcome, TaskId
from marjoramgrade.store import Store
from marjoramgrade.table import ABSENT, MemoryTable

SPEC = JobSpec("acme", JobKind.BATCH, tasks=2)
ENDED = Job("pack", SPEC, "leeds.0", outcomes="df", reason="failed")


def test_the_tasks_of_an_ended_job_are_still_listed() -> None:
    """Guards against an empty task list once the owner has removed the job."""

    async def run() -> tuple[TaskStatus, ...]:
        store = Store(MemoryTable())
        await store.commit_records([WriteJob(ENDED, ABSENT)], [])
        unused_actor = Actor()
        controller = JobsController(
            store,
            unused_actor,
            lambda _: "",
            unused_actor,
            unused_actor,
            MemoryMetrics(),
            (),
            ManualClock(),
            60_000,
            (),
        )
        async with ActorGroup() as actors:
            await actors.add(controller)
            tasks = controller.ask(GetTasks("", "pack"))
            return await asyncio.wait_for(tasks, 5.0)

    assert [(task.state, task.reason) for task in asyncio.run(run())] == [
        ("done", "ended"),
        ("failed", "ended"),
    ]


def test_an_outcome_is_known_before_it_is_durable() -> None:
    """Guards against an ended task that is listed as queued without a reason.

    It would be listed so until its outcome is written.
    """
    outcomes, task = PendingOutcomes(), TaskId("pack", 0)
    outcomes.record(task, Outcome.DONE)
    outcomes.begin_write("pack")
    assert outcomes.outcome_of(task) is Outcome.DONE
    outcomes.discard_job(ENDED)
    assert outcomes.outcome_of(task) is None
