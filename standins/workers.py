"""Stand-in workers: each listens on its own port and runs tasks as timers.

The control handler sets faults of a worker: `fail_all`, `overrun` (factor on the
declared run time) and `mute` (no heartbeats). The counters that it returns are the
reference for tests: starts, ends and run intervals by task, which show tasks that ran
twice at once.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections import Counter
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler
from tornado.websocket import WebSocketHandler

from marjoramgrade.clock import Clock, SystemClock
from marjoramgrade.decisions.fencing import (
    HEARTBEAT_INTERVAL_MS,
    EpochFence,
    HeartbeatLease,
)

# The checks run every 0.1 s; a gap longer than this shows that the process was frozen.
FROZEN_AFTER_S = 1.0


@attrs.define
class RunningTask:
    """A task on a worker.

    Attributes:
        task: Name of the task.
        attempt: Number of the attempt, returned with its end.
        cpu_millis: CPU used, in thousandths of a core.
        memory_mib: Memory used, in MiB.
        accelerators: Number of accelerators used.
        timer: Ends the task; None for a task without a run time.
    """

    task: str
    attempt: int
    cpu_millis: int
    memory_mib: int
    accelerators: int
    timer: asyncio.TimerHandle | None = None

    @classmethod
    def from_document(cls, document: dict[str, Any]) -> RunningTask:
        """Return the task that a start message describes."""
        resources = document["resources"]
        return cls(
            document["task"],
            document["attempt"],
            resources.get("cpu_millis", 0),
            resources.get("memory_mib", 0),
            resources.get("accelerators", 0),
        )


@attrs.define
class Worker:
    """A stand-in worker with its faults and counters.

    Attributes:
        worker_id: Instance id of the worker.
        capacity: Amount of each resource, by the resource's name.
        clock: Clock of the lease.
        fence: Refuses messages with an epoch older than the highest one seen.
        lease: Lease that heartbeats and grants extend.
        running_by_task: Running tasks.
        end_by_task: Ends that the owner has not acknowledged yet.
        session: Connection of the current owner.
        fail_all: Whether every task fails 1 ms after its start.
        overrun: Factor on the declared run time.
        mute: Whether no heartbeats are sent.
        starts: Number of starts by task.
        ends: Task and outcome of each reported end.
        intervals: Task, start and end of each run as wall-clock times in seconds;
            the end is None while the task runs.
        overcommitted: How often a start exceeded the capacity of a resource.
        refused: Number of refusals by reason.
        hellos: Number of accepted `hello` messages.
        last_check_s: Wall-clock time in seconds of the last periodic check.
    """

    worker_id: str
    capacity: dict[str, int]
    clock: Clock = attrs.field(factory=SystemClock)
    fence: EpochFence = attrs.field(factory=EpochFence)
    lease: HeartbeatLease = attrs.field(factory=HeartbeatLease)
    running_by_task: dict[str, RunningTask] = attrs.field(factory=dict)
    end_by_task: dict[str, dict[str, Any]] = attrs.field(factory=dict)
    session: WorkerSocket | None = None
    fail_all: bool = False
    overrun: float = 1.0
    mute: bool = False
    starts: Counter[str] = attrs.field(factory=Counter)
    ends: list[list[Any]] = attrs.field(factory=list)
    intervals: list[list[Any]] = attrs.field(factory=list)
    overcommitted: int = 0
    refused: Counter[str] = attrs.field(factory=Counter)
    hellos: int = 0
    last_check_s: float = attrs.field(factory=time.time)

    def start(self, document: dict[str, Any], epoch: int) -> str:
        """Start a task.

        Returns:
            The reason of a refusal or an empty string.
        """
        task = RunningTask.from_document(document)
        if not self.fence.admit(epoch):
            return "stale_epoch"
        if not self.lease.holds(self.clock.now_ms()):
            return "no_lease"
        if task.task in self.running_by_task or task.task in self.end_by_task:
            return "already_known"
        self.starts[task.task] += 1
        self.intervals.append([task.task, time.time(), None])
        self.running_by_task[task.task] = task
        self._count_overcommit()
        run_ms = 1 if self.fail_all else document["run_ms"] * self.overrun
        if run_ms or self.fail_all:
            loop = asyncio.get_running_loop()
            task.timer = loop.call_later(run_ms / 1000, self._end, task, None)
        return ""

    def stop(self, name: str) -> None:
        """Stop a task and report it as stopped."""
        task = self.running_by_task.get(name)
        if task is not None:
            self._end(task, "stopped")

    def stop_all(self) -> None:
        """Stop every task after the lease has lapsed, and close the connection.

        The lease may not have lapsed at the owner, where a delayed heartbeat extends
        it. The inventory sent on the next connection shows which tasks stopped.
        Starts still in transit on the old connection are ignored.
        Tasks are timers of this process. If the process was frozen, the tasks count
        as stopped from the beginning of the freeze.
        """
        now = time.time()
        ended = self.last_check_s if now - self.last_check_s > FROZEN_AFTER_S else now
        for task in list(self.running_by_task.values()):
            self._remove_task(task, ended)
        session, self.session = self.session, None
        if session is not None:
            session.close(4002, "lease lapsed")

    def inventory(self) -> dict[str, Any]:
        """Return the message with the running tasks and unacknowledged ends."""
        running = [
            {"task": task.task, "attempt": task.attempt}
            for task in self.running_by_task.values()
        ]
        return {
            "type": "inventory",
            "epoch": self.fence.epoch,
            "running": running,
            "ends": list(self.end_by_task.values()),
            "capacity": self.capacity,
        }

    def check_lease(self) -> None:
        """Stop all tasks once the lease has lapsed."""
        if self.running_by_task and not self.lease.holds(self.clock.now_ms()):
            self.stop_all()

    def _end(self, task: RunningTask, outcome: str | None) -> None:
        if not self.lease.holds(self.clock.now_ms()):
            self.stop_all()
            return
        self._remove_task(task, time.time())
        result = outcome or ("failed" if self.fail_all else "done")
        end = {"task": task.task, "attempt": task.attempt, "outcome": result}
        self.ends.append([task.task, result])
        self.end_by_task[task.task] = end
        if self.session is not None:
            self.session.send({"type": "ends", "ends": [end]})

    def _remove_task(self, task: RunningTask, ended: float) -> None:
        if task.timer is not None:
            task.timer.cancel()
        del self.running_by_task[task.task]
        for interval in reversed(self.intervals):
            if interval[0] == task.task and interval[2] is None:
                interval[2] = ended
                break

    def _count_overcommit(self) -> None:
        for name in ("cpu_millis", "memory_mib", "accelerators"):
            used = sum(getattr(task, name) for task in self.running_by_task.values())
            if used > self.capacity.get(name, 0):
                self.overcommitted += 1


class WorkerSocket(WebSocketHandler):
    """The connection from the owner of the worker's shard."""

    def initialize(self, worker: Worker) -> None:
        self.worker = worker

    def send(self, message: dict[str, Any]) -> None:
        """Send a message if the connection is open."""
        if self.ws_connection is not None and not self.ws_connection.is_closing():
            self.write_message(json.dumps(message))

    def on_message(self, message: str | bytes) -> None:
        """Handle a message from the owner."""
        body = json.loads(message)
        if body["type"] == "hello":
            self._hello(body["epoch"])
        elif self.worker.session is not self:
            return
        elif not self.worker.fence.admit(body["epoch"]):
            self.worker.refused["stale_epoch"] += 1
        elif body["type"] == "grant":
            # A grant must not extend a lease that lapsed before the grant arrived.
            self.worker.check_lease()
            self.worker.lease.record_grant(body["seq"], body["lease_ms"])
        elif body["type"] == "start":
            self._start(body)
        elif body["type"] == "stop":
            for name in body["tasks"]:
                self.worker.stop(name)
        elif body["type"] == "ack":
            for name in body["ends"]:
                self.worker.end_by_task.pop(name, None)

    def on_close(self) -> None:
        """Remove the connection from the worker unless another has replaced it."""
        if self.worker.session is self:
            self.worker.session = None

    def _hello(self, epoch: int) -> None:
        if not self.worker.fence.admit(epoch):
            self.worker.refused["stale_epoch"] += 1
            self.close(4009, "stale epoch")
            return
        self.worker.hellos += 1
        previous, self.worker.session = self.worker.session, self
        if previous is not None and previous is not self:
            previous.close(4001, "replaced")
        self.worker.check_lease()
        self.send(self.worker.inventory())
        self.heartbeat()

    def heartbeat(self) -> None:
        """Send a heartbeat, which requests an extension of the lease."""
        if self.worker.mute:
            return
        seq = self.worker.lease.heartbeat(self.worker.clock.now_ms())
        self.send({"type": "heartbeat", "seq": seq})

    def _start(self, body: dict[str, Any]) -> None:
        runs_by_reason: dict[str, list[dict[str, Any]]] = {}
        for document in body["tasks"]:
            reason = self.worker.start(document, body["epoch"])
            if reason:
                self.worker.refused[reason] += 1
                run = {"task": document["task"], "attempt": document["attempt"]}
                runs_by_reason.setdefault(reason, []).append(run)
        for reason, runs in sorted(runs_by_reason.items()):
            self.send({"type": "refused", "runs": runs, "reason": reason})


class ControlHandler(RequestHandler):
    """Returns the counters of a worker and sets its faults."""

    def initialize(self, worker: Worker) -> None:
        self.worker = worker

    def get(self) -> None:
        self.write(
            {
                "starts": self.worker.starts,
                "ends": self.worker.ends,
                "intervals": self.worker.intervals,
                "running": sorted(self.worker.running_by_task),
                "overcommitted": self.worker.overcommitted,
                "refused": self.worker.refused,
                "hellos": self.worker.hellos,
            }
        )

    def post(self) -> None:
        for name, value in json.loads(self.request.body).items():
            setattr(self.worker, name, value)
        self.write({})


async def _run_periodic_checks(worker: Worker) -> None:
    """Check the lease every 0.1 s and send heartbeats at their interval."""
    elapsed_ms = 0
    while True:
        await asyncio.sleep(0.1)
        worker.check_lease()
        worker.last_check_s = time.time()
        elapsed_ms += 100
        if elapsed_ms >= HEARTBEAT_INTERVAL_MS and worker.session is not None:
            elapsed_ms = 0
            worker.session.heartbeat()


def serve(worker: Worker, host: str, port: int) -> asyncio.Task[None]:
    """Start the HTTP server of a worker and return the task of its periodic checks."""
    arguments = {"worker": worker}
    application = Application(
        [
            (r"/v1/worker", WorkerSocket, arguments),
            (r"/control", ControlHandler, arguments),
        ]
    )
    HTTPServer(application).listen(port, address=host)
    return asyncio.ensure_future(_run_periodic_checks(worker))


async def main(path: str) -> None:
    """Serve the workers listed in a JSON file until the process is killed."""
    with open(path, encoding="utf-8") as file:
        documents = json.load(file)
    check_tasks = [
        serve(
            Worker(document["instance_id"], document["capacity"]),
            document["host"],
            document["port"],
        )
        for document in documents
    ]
    print("ready", flush=True)
    await asyncio.gather(*check_tasks)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
