from marjoramgrade.decisions.excess import choose_excess_tasks
from marjoramgrade.decisions.running import RunningTasks
from marjoramgrade.decisions.tasks import RunningTask
from marjoramgrade.model import JobKind, Priority, TaskId
from marjoramgrade.resources import Resources

ONE = Resources(cpu_millis=1000)


def _running(job_id: str, kind: JobKind, started_ms: int) -> RunningTask:
    return RunningTask(
        TaskId(job_id, 0), "acme", kind, Priority.NORMAL, ONE, "w", started_ms
    )


def test_a_lowered_limit_stops_the_newest_batch_tasks_first() -> None:
    """Guards against stopping a service before batch work."""
    running = RunningTasks()
    for job_id, kind, started_ms in (
        ("old", JobKind.BATCH, 1),
        ("watch", JobKind.SERVICE, 2),
        ("new", JobKind.BATCH, 3),
    ):
        running.add(_running(job_id, kind, started_ms))
    amount = Resources(cpu_millis=1500)
    assert choose_excess_tasks(running, "acme", amount) == [
        TaskId("new", 0),
        TaskId("old", 0),
    ]
    assert choose_excess_tasks(running, "acme", Resources()) == []
