import attrs
import pytest

from marjoramgrade.decisions.admission.feasibility import check_job
from marjoramgrade.errors import MarjoramgradeError
from marjoramgrade.model import JobKind, JobSpec, Team
from marjoramgrade.resources import ZERO_RESOURCES
from tests.scheduling import amount, node

CELL = {
    "g.0": [node("w-0", rack="a"), node("w-1", rack="a")],
    "k.0": [node("w-2", rack="b"), node("w-3", rack="c"), node("w-4", rack="c")],
}
GANG = JobSpec("a", JobKind.GANG, tasks=6, resources=amount(2))


@pytest.mark.parametrize(
    ("spec", "team", "reason"),
    [
        (JobSpec("a", JobKind.BATCH, tasks=0), Team("a"), "bad_task_count"),
        (JobSpec("a", JobKind.BATCH, max_attempts=0), Team("a"), "bad_attempts"),
        (JobSpec("a", JobKind.BATCH, run_ms=-1), Team("a"), "bad_run_time"),
        (JobSpec("a", JobKind.BATCH, resources=amount(-1)), Team("a"), "bad_resources"),
        (
            JobSpec("a", JobKind.BATCH, resources=ZERO_RESOURCES),
            Team("a"),
            "bad_resources",
        ),
        (JobSpec("a", JobKind.BATCH, resources=amount(5)), Team("a"), "task_too_large"),
        (attrs.evolve(GANG, tasks=7), Team("a"), "gang_too_large"),
        (attrs.evolve(GANG, tasks=3, spread_racks=True), Team("a"), "gang_too_large"),
        (GANG, Team("a", limit=amount(11)), "above_team_limit"),
        (
            JobSpec("a", JobKind.BATCH, tasks=9),
            Team("a", queue_bound=8),
            "above_queue_",
        ),
    ],
)
def test_work_that_could_never_run_is_refused_with_its_reason(
    spec: JobSpec, team: Team, reason: str
) -> None:
    """Guards against accepting work that then waits indefinitely."""
    with pytest.raises(MarjoramgradeError) as caught:
        check_job(spec, team, CELL)
    assert caught.value.details["reason"].startswith(reason)


@pytest.mark.parametrize(
    ("spec", "team"),
    [
        (GANG, Team("a", limit=amount(12))),
        (attrs.evolve(GANG, tasks=2, spread_racks=True), Team("a")),
        (JobSpec("a", JobKind.BATCH, tasks=90, resources=amount(4)), Team("a")),
        (
            JobSpec("a", JobKind.BATCH, resources=amount(1, 8)),
            Team("a", limit=amount(1)),
        ),
    ],
)
def test_work_that_just_fits_is_accepted(spec: JobSpec, team: Team) -> None:
    """Guards against refusing a job that an empty cell could run."""
    check_job(spec, team, CELL)


def test_no_job_is_refused_for_its_size_while_no_worker_is_known() -> None:
    """Guards against refusals after a start, before any worker has reported."""
    check_job(GANG, Team("a"), {"g.0": []})
