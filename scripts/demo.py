"""Starts a small cell of separate processes and demonstrates it (`make demo`).

The cell has the zones and teams of `deploy/ledgerwell.json`. Every wait has a
timeout; the last line and the exit status report whether all steps passed.
"""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs

from marjoramgrade.actor import ActorGroup
from marjoramgrade.api import Client
from marjoramgrade.commands.operations import read_confirmed_versions
from marjoramgrade.deployment import Deployment, read_deployment
from marjoramgrade.documents import Document, serialize_team
from marjoramgrade.errors import MarjoramgradeError, RefusedError
from marjoramgrade.model import JobKind, JobSpec, Zone, ZoneState
from marjoramgrade.resourcekinds import KEYS, ZONES
from marjoramgrade.resources import Resources
from scripts.demoboard import AwaitJob, JobTest, JobTracker, describe_tasks
from standins.cell import OPERATOR_SECRET, Cell

ROOT = pathlib.Path(__file__).resolve().parent.parent
DEPLOYMENT = ROOT / "deploy" / "ledgerwell.json"
# The whole demo ends within a minute, including the shutdown.
TIMEOUT_S = 50.0
STEP_TIMEOUT_S = 20.0
SHUTDOWN_TIMEOUT_S = 5.0
# Time within which a configuration is in force in every zone, according to the design
# page.
IN_FORCE_TIMEOUT_S = 8.0
POLL_S = 0.2
BATCH = JobSpec(
    "tyneside-housing",
    JobKind.BATCH,
    tasks=48,
    resources=Resources(cpu_millis=2_000, memory_mib=1_024),
    run_ms=700,
)
GANG = JobSpec(
    "dales-food-banks",
    JobKind.GANG,
    tasks=4,
    resources=Resources(cpu_millis=8_000, memory_mib=4_096),
    run_ms=1_000,
)
WATCH = JobSpec("cumbria-rescue", JobKind.SERVICE, tasks=3)


class StepFailedError(Exception):
    """A step did not have the expected result."""


@attrs.define
class Demo:
    """The state that the steps share.

    Attributes:
        deployment: Zones, teams and services of the cell.
        cell: The processes of the cell.
        operator: Client with the operators' key.
        secret_by_team: Secret of the key of each team.
        tracker: Follows the watch and tracks the jobs.
        started_s: Monotonic time of the start of the demo.
    """

    deployment: Deployment
    cell: Cell
    operator: Client
    secret_by_team: dict[str, str]
    tracker: JobTracker
    started_s: float

    def show(self, line: str) -> None:
        """Print a line with the time since the start."""
        show(self.started_s, line)

    @contextlib.asynccontextmanager
    async def open_team_client(self, team: str) -> AsyncIterator[Client]:
        """Open a client with the key of a team."""
        url = self.cell.running_entries()[0].url
        async with Client.from_url(url, self.secret_by_team[team]) as client:
            yield client

    async def submit(self, job_id: str, spec: JobSpec) -> None:
        """Submit a job with the key of its team."""
        async with self.open_team_client(spec.team) as client:
            job = await client.submit(spec, job_id)
        self.show(f"accepted: {spec.kind.value} job {job_id} of {spec.team}")
        self.show(f"  it is assigned to shard {job.shard}")

    async def wait_for_job(
        self, job_id: str, goal: str, is_reached: JobTest, timeout_s: float
    ) -> Document:
        """Wait until the watch shows a job in a state that passes a test.

        Raises:
            StepFailedError: If the job does not reach the state in time.
        """
        try:
            return await asyncio.wait_for(
                self.tracker.ask(AwaitJob(job_id, is_reached)), timeout_s
            )
        except TimeoutError:
            tasks = describe_tasks(await self.operator.list_tasks(job_id))
            raise StepFailedError(
                f"job {job_id} was not {goal} within {timeout_s:.0f} s; tasks: {tasks}"
            ) from None

    async def wait_for(
        self, goal: str, is_reached: Callable[[], Awaitable[bool]], timeout_s: float
    ) -> None:
        """Poll until a condition is met.

        Raises:
            StepFailedError: If the condition is not met in time.
        """
        deadline_s = time.monotonic() + timeout_s
        while not await is_reached():
            if time.monotonic() > deadline_s:
                raise StepFailedError(f"{goal}: not within {timeout_s:.0f} s")
            await asyncio.sleep(POLL_S)

    async def wait_for_tasks(
        self, job_id: str, goal: str, is_reached: Callable[[Document], bool]
    ) -> tuple[Document, ...]:
        """Wait until every task of a job passes a test; print changes meanwhile.

        Raises:
            StepFailedError: If a task does not pass the test in time.
        """
        latest: tuple[Document, ...] = ()

        async def is_reached_by_all() -> bool:
            nonlocal latest
            before, latest = latest, await self.operator.list_tasks(job_id)
            line = describe_tasks(latest)
            if line and line != describe_tasks(before):
                self.show(f"tasks of {job_id}: {line}")
            return bool(latest) and all(is_reached(task) for task in latest)

        await self.wait_for(
            f"tasks of {job_id} {goal}", is_reached_by_all, STEP_TIMEOUT_S
        )
        return latest

    async def wait_for_version(self, version: int) -> None:
        """Wait until every zone has confirmed a version of the configuration."""
        confirmed: set[str] = set()

        async def is_in_force() -> bool:
            by_zone = await read_confirmed_versions(self.operator)
            for zone in sorted(by_zone):
                if by_zone[zone] >= version and zone not in confirmed:
                    confirmed.add(zone)
                    self.show(f"version {version} is in force in {zone}")
            return confirmed >= set(self.cell.zones)

        await self.wait_for(
            f"version {version} in force", is_in_force, IN_FORCE_TIMEOUT_S
        )


Step = Callable[[Demo], Awaitable[None]]
_step_by_title: dict[str, Step] = {}


def step(title: str) -> Callable[[Step], Step]:
    """Return a decorator that adds a step; steps run in the order of definition."""

    def add(function: Step) -> Step:
        _step_by_title[title] = function
        return function

    return add


def _is_done(document: Document) -> bool:
    return bool(document["state"] == "done")


def _is_running(task: Document) -> bool:
    return bool(task["state"] == "running")


@step("a quick request")
async def run_request(demo: Demo) -> None:
    """Send a request through an entry instance to a backend server."""
    service = demo.deployment.services[0].name
    async with demo.open_team_client("pennine-hospices") as client:
        answer = await client.run(service, b'{"work_ms": 20}')
    demo.show(f"{service} answered {answer.decode()}")
    if answer != b'{"work_ms": 20}':
        raise StepFailedError("the response belongs to another request")


@step("a batch job and a gang")
async def run_jobs(demo: Demo) -> None:
    """Run a job with more tasks than fit at once, and a gang of tasks."""
    await demo.submit("report-pack", BATCH)
    await demo.submit("yearly-reconciliation", GANG)
    await demo.wait_for_tasks(
        "report-pack", "done", lambda task: task["state"] == "done"
    )
    await demo.wait_for_job("report-pack", "done", _is_done, STEP_TIMEOUT_S)
    await demo.wait_for_job("yearly-reconciliation", "done", _is_done, STEP_TIMEOUT_S)


@step("a standing watch")
async def run_service(demo: Demo) -> None:
    """Start a service, which runs until it is cancelled."""
    await demo.submit("donations-watch", WATCH)
    await demo.wait_for_tasks("donations-watch", "running", _is_running)


async def _set_zone(demo: Demo, name: str, state: ZoneState) -> None:
    found = await demo.operator.get(ZONES, name)
    version = await demo.operator.put(ZONES, Zone(name, state), found.version)
    demo.show(f"version {version} takes zone {name} {state.value}")
    await demo.wait_for_version(version)


@step("take a zone out and bring it back")
async def move_zone(demo: Demo) -> None:
    """Take out the zone of the service and check that its tasks move."""
    shard = (await demo.operator.get_job("donations-watch")).shard
    zone = shard.partition(".")[0]
    await _set_zone(demo, zone, ZoneState.OUT)
    await demo.wait_for_job(
        "donations-watch",
        f"moved from {zone}",
        lambda document: document["shard"] != shard,
        STEP_TIMEOUT_S,
    )
    tasks = await demo.wait_for_tasks("donations-watch", "running", _is_running)
    if any(task["worker"].startswith(f"{zone}-") for task in tasks):
        raise StepFailedError(f"a task still runs in {zone}")
    await _set_zone(demo, zone, ZoneState.IN)


@step("cancel the standing watch")
async def cancel_service(demo: Demo) -> None:
    """Cancel a job with running tasks and check that the workers become free."""
    await demo.operator.cancel_job("donations-watch")
    await demo.wait_for_job(
        "donations-watch",
        "cancelled",
        lambda document: document["state"] == "cancelled",
        STEP_TIMEOUT_S,
    )

    async def is_idle() -> bool:
        workers = await demo.cell.counters("worker")
        return not any(counters["running"] for counters in workers.values())

    await demo.wait_for("idle workers", is_idle, STEP_TIMEOUT_S)
    demo.show("no worker runs a task")


@step("withdraw a key")
async def withdraw_key(demo: Demo) -> None:
    """Withdraw a team's key and check that its work is refused."""
    version = await demo.operator.delete(KEYS, f"{BATCH.team}-key")
    await demo.wait_for_version(version)
    async with demo.open_team_client(BATCH.team) as client:
        try:
            await client.submit(BATCH, "report-pack-2")
        except RefusedError as error:
            demo.show(f"refused: {error.code}, ran: {error.ran.value}: {error.message}")
            if error.code != "unauthenticated":
                raise StepFailedError(f"refused with {error.code}") from None
            return
    raise StepFailedError("work was accepted with a key that was withdrawn")


def show(started_s: float, line: str) -> None:
    """Print a line with the time since the start."""
    print(f"{time.monotonic() - started_s:5.1f} s  {line}", flush=True)


@contextlib.asynccontextmanager
async def open_demo(folder: pathlib.Path, started_s: float) -> AsyncIterator[Demo]:
    """Start a cell, declare its teams and keys, and follow its watch."""
    deployment = read_deployment(DEPLOYMENT)
    zones = tuple(zone.name for zone in deployment.zones)
    service = deployment.services[0].name
    cell = Cell(folder, zones=zones, workers_per_zone=3, service=service)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(cell)
        show(started_s, f"{len(cell.process_by_name)} processes run in {zones}")
        teams = {team.name: serialize_team(team) for team in deployment.teams}
        secrets = await cell.seed(teams)
        await cell.wait_for_shards()
        show(started_s, f"declared {len(teams)} teams with a key each")
        url = cell.running_entries()[-1].url
        operator = await stack.enter_async_context(
            Client.from_url(url, OPERATOR_SECRET)
        )
        tracker = JobTracker(operator, lambda line: show(started_s, line))
        actors = await stack.enter_async_context(ActorGroup())
        await actors.add(tracker)
        # Pushed last, so that the shutdown runs first and the watch ends together
        # with the instance that serves the watch.
        stack.push_async_callback(_shut_down, cell, started_s)
        yield Demo(deployment, cell, operator, secrets, tracker, started_s)


async def _shut_down(cell: Cell, started_s: float) -> None:
    """Stop the entry instances with SIGTERM, as operators do, and wait."""
    entries = [cell.process_by_name[name] for name in cell.entry_by_id]
    for process in entries:
        process.send(signal.SIGTERM)
    deadline_s = time.monotonic() + SHUTDOWN_TIMEOUT_S
    while any(process.popen.poll() is None for process in entries):
        if time.monotonic() > deadline_s:
            show(started_s, "an entry instance did not end in time and is killed")
            return
        await asyncio.sleep(POLL_S)
    show(started_s, f"{len(entries)} entry instances ended")


async def run_steps(folder: pathlib.Path, started_s: float) -> None:
    """Start a cell and run all steps in it.

    Raises:
        StepFailedError: If a step failed or the demo exceeded its time limit.
    """
    current = "start a cell"
    try:
        async with asyncio.timeout(TIMEOUT_S), open_demo(folder, started_s) as demo:
            for current, function in _step_by_title.items():
                demo.show(f"--- {current}")
                await function(demo)
    except TimeoutError as error:
        reason = str(error) or f"not within {TIMEOUT_S:.0f} s in all"
        raise StepFailedError(f"{current}: {reason}") from error
    except (MarjoramgradeError, OSError, RuntimeError) as error:
        raise StepFailedError(f"{current}: {error}") from error


async def run_until_signalled(folder: pathlib.Path, started_s: float) -> None:
    """Run the steps; SIGTERM ends the steps and the cell."""
    work = asyncio.ensure_future(run_steps(folder, started_s))
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, work.cancel)
    await work


def main() -> int:
    """Run the demo and return the exit status."""
    started_s = time.monotonic()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="marjoramgrade-demo-"))
    try:
        asyncio.run(run_until_signalled(folder, started_s))
    except StepFailedError as error:
        print(f"the logs are in {folder}")
        print(f"demo: failed: {error}")
        return 1
    except (KeyboardInterrupt, asyncio.CancelledError):
        shutil.rmtree(folder)
        print("demo: failed: interrupted")
        return 1
    shutil.rmtree(folder)
    print("demo: all steps passed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
