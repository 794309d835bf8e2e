"""The choice of tasks to stop when the upper limit of a team was lowered."""

from __future__ import annotations

import itertools

from marjoramgrade.decisions.grants import positive_part
from marjoramgrade.decisions.running import RunningTasks
from marjoramgrade.model import JobKind, Priority, TaskId
from marjoramgrade.resources import ZERO_RESOURCES, Resources

STOP_ORDER = (JobKind.BATCH, JobKind.GANG, JobKind.SERVICE)


def choose_excess_tasks(
    running: RunningTasks, team: str, excess: Resources
) -> list[TaskId]:
    """Return tasks of a team whose end frees an amount, newest first, services last.

    Args:
        running: The running tasks; tasks that are already stopping are not chosen.
        team: Name of the team.
        excess: Resources that the team uses above its limit.
    """
    chosen: list[TaskId] = []
    for kind, priority in itertools.product(STOP_ORDER, Priority):
        for task in running.iter_newest(team, kind, priority):
            if positive_part(excess) == ZERO_RESOURCES:
                return chosen
            chosen.append(task.task)
            excess = excess - task.resources
    return chosen
