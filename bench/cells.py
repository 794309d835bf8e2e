"""The two simulated deployments and the work that their teams submit."""

from __future__ import annotations

from random import Random

import attrs

from marjoramgrade.decisions.tasks import QueuedTask
from marjoramgrade.decisions.workers import WorkerNode
from marjoramgrade.model import JobKind, Priority, TaskId, Team
from marjoramgrade.resources import Resources

ZONES = 3
WORKERS_PER_ZONE = 8


@attrs.frozen
class Shape:
    """A type of work that a team submits.

    Attributes:
        cores: Processor cores of each member.
        gib: Memory of each member in GiB.
        run_ms: Shortest and longest run time in ms.
        part: Relative frequency among the types of work of a team.
        kind: Kind of the submitted job.
        members: Number of members; more than one only for gangs.
    """

    cores: int
    gib: int
    run_ms: tuple[int, int]
    part: int
    kind: JobKind = JobKind.BATCH
    members: int = 1


@attrs.frozen
class Deployment:
    """A cell and its teams.

    Attributes:
        name: Name on the command line and in the results.
        capacity: Capacity of each worker.
        teams: Teams that submit work.
        shapes_by_team: Types of work that each team submits.
        urgent: Type of the urgent work of all teams.
    """

    name: str
    capacity: Resources
    teams: tuple[Team, ...]
    shapes_by_team: dict[str, tuple[Shape, ...]]
    urgent: Shape

    def nodes_of(self, zone: int) -> list[WorkerNode]:
        """Return the workers of a zone, all in the same rack."""
        return [
            WorkerNode(f"z{zone}-w{number}", f"rack-{zone}", self.capacity)
            for number in range(WORKERS_PER_ZONE)
        ]

    @property
    def total(self) -> Resources:
        """Total capacity of all zones."""
        return self.capacity.scaled(ZONES * WORKERS_PER_ZONE, 1)


CHECK = Shape(1, 1, (500, 4_000), 12)
TEAMS = (
    Team("collections", share=4),
    Team("reports", share=3),
    Team("billing"),
    Team("audit"),
    Team("web"),
    Team("lab"),
)


def _shapes(cores: int, gib: int) -> dict[str, tuple[Shape, ...]]:
    """Return the types of work of each team, scaled by cores and memory."""
    pack = Shape(4 * cores, 4 * gib, (8_000, 30_000), 4)
    cpu_heavy = Shape(6 * cores, 2 * gib, (5_000, 40_000), 2)
    memory_heavy = Shape(2 * cores, 8 * gib, (10_000, 40_000), 4)
    watch = Shape(cores, 2 * gib, (60_000, 120_000), 1, JobKind.SERVICE)
    gang = Shape(3 * cores, 3 * gib, (10_000, 20_000), 1, JobKind.GANG, 4)
    return {
        "collections": (CHECK, pack, watch),
        "reports": (memory_heavy, CHECK, gang),
        "billing": (CHECK, watch),
        "audit": (cpu_heavy, CHECK),
        "web": (CHECK, pack, watch),
        "lab": (gang, cpu_heavy, memory_heavy),
    }


KELANI = Deployment(
    "kelani",
    Resources(64_000, 128 * 1024),
    TEAMS,
    _shapes(cores=2, gib=4),
    Shape(4, 8, (1_000, 3_000), 1),
)
LEDGERWELL = Deployment(
    "ledgerwell",
    Resources(16_000, 64 * 1024),
    TEAMS,
    _shapes(cores=1, gib=2),
    Shape(2, 4, (1_000, 3_000), 1),
)
DEPLOYMENTS = {each.name: each for each in (KELANI, LEDGERWELL)}


@attrs.frozen(eq=False)
class Work:
    """A queue entry to submit and the run time of its members in ms."""

    entry: QueuedTask
    run_ms: int


@attrs.define
class WorkSource:
    """Generates the work of the teams of a deployment at random."""

    deployment: Deployment
    randomness: Random
    _number: int = 0

    def draw(self, team: str, now_ms: int) -> Work:
        """Return the next queue entry of a team."""
        shapes = self.deployment.shapes_by_team[team]
        weights = [shape.part for shape in shapes]
        shape = self.randomness.choices(shapes, weights)[0]
        return self._make_work(team, shape, Priority.NORMAL, now_ms)

    def draw_urgent(self, now_ms: int) -> Work:
        """Return an urgent queue entry of a random team."""
        team = self.randomness.choice(self.deployment.teams).name
        return self._make_work(team, self.deployment.urgent, Priority.URGENT, now_ms)

    def mean_load(self, team: str) -> float:
        """Return the mean load of a queue entry: dominant share of the cell × ms."""
        total = self.deployment.total
        shapes = self.deployment.shapes_by_team[team]
        weight = sum(shape.part for shape in shapes)
        return sum(
            shape.part
            / weight
            * shape.members
            * Resources(1000 * shape.cores, 1024 * shape.gib).dominant_share(total)
            * sum(shape.run_ms)
            / 2
            for shape in shapes
        )

    def _make_work(
        self, team: str, shape: Shape, priority: Priority, now_ms: int
    ) -> Work:
        self._number += 1
        is_gang = shape.kind is JobKind.GANG
        entry = QueuedTask(
            TaskId(f"{team}-{self._number}", 0),
            team,
            shape.kind,
            priority,
            Resources(1000 * shape.cores, 1024 * shape.gib),
            now_ms,
            gang_size=shape.members,
            members=tuple(range(shape.members)) if is_gang else (),
        )
        return Work(entry, self.randomness.randint(*shape.run_ms))
