"""Stand-in for the users' platform: store, workers and operator in one process.

It implements the part of the platform's documented protocol that step jobs need and
checks that the starts on the workers break no invariant. The control handler accepts
`mode` of the store (`ok`, `busy`, `slow`, `lost`), `crash` (index of a worker to
restart), `late` (share of the orders to workers that get no response and are
executed later) and `rows` (rows of other writers: table, part, key, and the content in
Base64 or null to remove the row), and returns the violations found; with `list_jobs`
also the ids of the jobs that were started.
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import sys
import time
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

MAX_LEASE_MS = 6_000
# Delay before a worker executes an order that gets no response.
ORDER_DELAY_MS = 1_500
# Delay of every request to the store in mode `slow`.
STORE_DELAY_MS = 400


def now_ms() -> int:
    """Return the stand-in's clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


@attrs.define
class Store:
    """Rows with versions, and the fault that the store simulates.

    Attributes:
        rows: Rows by table, part and key; deleted rows are marked as such.
        version: Version of the newest transaction.
        mode: `ok`, `busy` (status 503), `slow`, or `lost` (some commits get no
            response).
        changed: Set, and replaced by a new event, at each transaction.
    """

    rows: dict[tuple[str, str, str], dict[str, Any]] = attrs.field(factory=dict)
    version: int = 0
    mode: str = "ok"
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, table: str, part: str, key: str, value: bytes | None) -> None:
        """Write a row, or remove it if the value is None, in its own transaction."""
        self.version += 1
        self._write(table, part, key, value)
        self._notify()

    def commit(self, body: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Apply a transaction.

        Returns:
            None, or the current rows of all checked keys if a check failed.
        """
        checked = [(_key(entry), entry["ver"]) for entry in body["expectRev"]]
        current = [self.rows[key] for key, _ in checked if key in self.rows]
        for key, expected in checked:
            row = self.rows.get(key)
            found = 0 if row is None or row.get("deleted") else row["ver"]
            if found != expected:
                return [row for row in current if not row.get("deleted")]
        self.version += 1
        for entry in body["puts"]:
            self._write(*_key(entry), base64.b64decode(entry["value"]))
        for entry in body["remove"]:
            self._write(*_key(entry), None)
        self._notify()
        return None

    def _write(self, table: str, part: str, key: str, value: bytes | None) -> None:
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
        self.rows[(table, part, key)] = row

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


def _key(entry: dict[str, Any]) -> tuple[str, str, str]:
    return (entry["table"], entry.get("part", ""), entry["key"])


@attrs.define
class Worker:
    """A worker that holds its runs in memory and ends each after its run time.

    Attributes:
        worker_id: Id that requests must name in `X-Expect-Instance`.
        address: Address that the store lists.
        cpu: Capacity in the unit of the tasks' specs.
        audit: Checks the starts on all workers.
        born: Wall-clock time of the last start in ms; identifies the incarnation.
        fence: Highest fencing token seen.
        lease_ms: Time at which the lease ends, by the stand-in's clock.
        running: End time in ms and CPU of each run, by task and run number.
        highest_run_by_task: Highest run number started or stopped.
        ended: Number, task, run, outcome and detail of each unacknowledged end.
        last_end_number: Number of the last end in this incarnation.
    """

    worker_id: str
    address: str
    cpu: int
    audit: Audit
    born: int = attrs.field(factory=lambda: int(time.time() * 1000))
    fence: int = 0
    lease_ms: int = 0
    running: dict[tuple[str, int], tuple[int, int]] = attrs.field(factory=dict)
    highest_run_by_task: dict[str, int] = attrs.field(factory=dict)
    ended: list[list[Any]] = attrs.field(factory=list)
    last_end_number: int = 0

    def crash(self) -> None:
        """Restart as a new incarnation without the state of the old one."""
        for task, run in self.running:
            self.audit.ended(task, run, "crashed")
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.fence = self.lease_ms = self.last_end_number = 0
        self.running.clear()
        self.highest_run_by_task.clear()
        self.ended.clear()

    def end_due_runs(self) -> None:
        """End the runs whose time is over, and all runs once the lease has lapsed."""
        if self.running and now_ms() > self.lease_ms:
            for task, run in list(self.running):
                self._end(task, run, "lapsed")
        for (task, run), (due_ms, _) in list(self.running.items()):
            if now_ms() >= due_ms:
                self._end(task, run, "done")

    def _end(self, task: str, run: int, outcome: str) -> None:
        del self.running[(task, run)]
        self.last_end_number += 1
        self.ended.append([self.last_end_number, task, run, outcome, ""])
        self.audit.ended(task, run, outcome)

    def _admit(self, body: dict[str, Any]) -> bool:
        """Check an order's fencing token; if it is current, extend the lease."""
        if body.get("fence", 0) < self.fence:
            return False
        self.fence = body.get("fence", 0)
        granted_until_ms = min(body.get("deadlineMs", 0), now_ms() + MAX_LEASE_MS)
        self.lease_ms = max(self.lease_ms, granted_until_ms)
        return True

    def start(self, body: dict[str, Any]) -> str:
        """Start a run.

        Returns:
            The reason of a refusal or an empty string.
        """
        self.end_due_runs()
        task, run = body["task"], body["run"]
        if not self._admit(body):
            return "fence"
        if (task, run) in self.running:
            return ""
        if run <= self.highest_run_by_task.get(task, 0):
            return "old"
        if now_ms() > self.lease_ms:
            return "late"
        cpu, took_ms = (int(part) for part in body["spec"].split(":")[:2])
        self.highest_run_by_task[task] = run
        self.running[(task, run)] = (now_ms() + took_ms, cpu)
        used_cpu = sum(cpu for _, cpu in self.running.values())
        self.audit.started(self, task, run, used_cpu)
        return ""

    def stop(self, body: dict[str, Any]) -> str:
        """Stop a run and refuse later starts of this run and older ones of its task.

        Returns:
            The reason of a refusal or an empty string.
        """
        self.end_due_runs()
        if not self._admit(body):
            return "fence"
        task, run = body["task"], body["run"]
        self.highest_run_by_task[task] = max(run, self.highest_run_by_task.get(task, 0))
        if (task, run) in self.running:
            self._end(task, run, "stopped")
        return ""

    def hold(self, body: dict[str, Any]) -> str:
        """Renew the lease and discard acknowledged ends.

        Returns:
            The reason of a refusal or an empty string.
        """
        self.end_due_runs()
        if not self._admit(body):
            return "fence"
        acknowledged = body.get("lastSeen", 0)
        for entry in self.ended:
            if entry[0] <= acknowledged and entry[3] == "done":
                self.audit.record_acknowledged(entry[1])
        self.ended = [entry for entry in self.ended if entry[0] > acknowledged]
        return ""

    def hold_response(self) -> dict[str, Any]:
        """Return the response to a lease renewal: the runs and unacknowledged ends."""
        running = [[task, run, "", 50, 0] for task, run in self.running]
        return {
            "born": self.born,
            "clockMs": now_ms(),
            "running": running,
            "ended": self.ended[:500],
        }


@attrs.define
class Audit:
    """Checks the starts on all workers for violated invariants.

    Attributes:
        violations: A sentence for each violation.
        starts: Number of starts so far.
        done: Tasks whose successful end was acknowledged.
        running: Worker id and run number by task.
        started_jobs: Ids of the jobs of which a task was started.
    """

    violations: list[str] = attrs.field(factory=list)
    starts: int = 0
    done: set[str] = attrs.field(factory=set)
    running: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    started_jobs: set[str] = attrs.field(factory=set)

    def started(self, worker: Worker, task: str, run: int, used_cpu: int) -> None:
        """Record a start and check that it is allowed."""
        self.starts += 1
        self.started_jobs.add(task.partition(".")[0])
        subject = f"{task} run {run} on {worker.worker_id}"
        if used_cpu > worker.cpu:
            self.violations.append(f"overcommitted: {subject} uses {used_cpu}")
        if task in self.running:
            self.violations.append(f"twice: {subject} beside {self.running[task]}")
        if task in self.done:
            self.violations.append(f"after its end: {subject}")
        self.running[task] = (worker.worker_id, run)

    def ended(self, task: str, run: int, outcome: str) -> None:
        """Record the end of a run."""
        if self.running.get(task, ("", 0))[1] == run:
            del self.running[task]

    def record_acknowledged(self, task: str) -> None:
        """Record that a task's success was acknowledged; no run may start after it."""
        self.done.add(task)


@attrs.define
class Fleet:
    """State that the handlers share.

    Attributes:
        store: The store.
        workers: The workers; `crash` names them by index.
        audit: Checks the starts on all workers.
        unanswered_share: Share from 0 to 1 of the orders that get no response and
            are executed later.
    """

    store: Store
    workers: list[Worker]
    audit: Audit
    unanswered_share: float = 0.0


class StoreHandler(RequestHandler):
    """Serves requests to the store."""

    def initialize(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.store = fleet.store

    async def prepare(self) -> None:
        if self.store.mode == "busy":
            self.send_error(503)
        elif self.store.mode == "slow":
            await asyncio.sleep(STORE_DELAY_MS / 1000)

    async def get(self, verb: str) -> None:
        table = self.get_argument("table")
        if verb == "rows-feed":
            await self._feed(table)
            return
        part, first = self.get_argument("part"), self.get_argument("from", "")
        limit = int(self.get_argument("limit", "500"))
        rows = [
            row
            for key, row in sorted(self.store.rows.items())
            if key[:2] == (table, part) and key[2] >= first and not row.get("deleted")
        ]
        answer = {"rows": rows[:limit], "hasMore": len(rows) > limit}
        self.write({**answer, "ver": self.store.version, "nowMs": now_ms()})

    async def _feed(self, table: str) -> None:
        after = int(self.get_argument("after"))
        end_ms = now_ms() + int(self.get_argument("waitMs"))
        while True:
            changed, version = self.store.changed, self.store.version
            rows = [
                row
                for key, row in self.store.rows.items()
                if key[0] == table and row["ver"] > after
            ]
            left_ms = end_ms - now_ms()
            if rows or left_ms <= 0:
                break
            try:
                await asyncio.wait_for(changed.wait(), left_ms / 1000)
            except TimeoutError:
                continue
        rows.sort(key=lambda row: row["ver"])
        self.write({"rows": rows, "ver": version, "nowMs": now_ms()})

    def post(self, verb: str) -> None:
        conflict = self.store.commit(json.loads(self.request.body))
        if self.store.mode == "lost" and random.random() < 0.4:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True
            return
        if conflict is not None:
            self.set_status(412)
            self.write({"rows": conflict, "ver": self.store.version, "nowMs": 0})
            return
        self.write({"ver": self.store.version, "nowMs": now_ms()})


class WorkerHandler(RequestHandler):
    """Executes the orders to a worker."""

    def initialize(self, fleet: Fleet, worker: Worker) -> None:
        self.fleet = fleet
        self.worker = worker

    async def post(self, verb: str) -> None:
        body = json.loads(self.request.body)
        worker = self.worker
        if self.request.headers.get("X-Expect-Instance") != worker.worker_id:
            self.set_status(421)
            return
        handler_by_verb = {
            "run-start": worker.start,
            "run-stop": worker.stop,
            "hold": worker.hold,
        }
        if random.random() < self.fleet.unanswered_share:
            loop = asyncio.get_running_loop()
            loop.call_later(ORDER_DELAY_MS / 1000, handler_by_verb[verb], body)
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True
            return
        reason = handler_by_verb[verb](body)
        if verb == "hold" and not reason:
            end_ms = now_ms() + body.get("waitMs", 0)
            while not worker.ended and now_ms() < end_ms:
                await asyncio.sleep(0.01)
                worker.end_due_runs()
            self.write(worker.hold_response())
            return
        if reason:
            self.set_status(409)
        self.write({"clockMs": now_ms(), "reason": reason})


class ControlHandler(RequestHandler):
    """Sets faults and returns the findings of the audit."""

    def initialize(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def post(self) -> None:
        body = json.loads(self.request.body)
        fleet = self.fleet
        fleet.store.mode = body.get("mode", fleet.store.mode)
        fleet.unanswered_share = body.get("late", fleet.unanswered_share)
        if "crash" in body:
            fleet.workers[body["crash"]].crash()
        for table, part, key, value in body.get("rows", ()):
            content = None if value is None else base64.b64decode(value)
            fleet.store.put(table, part, key, content)
        for worker in fleet.workers:
            worker.end_due_runs()
        answer = {"violations": fleet.audit.violations, "starts": fleet.audit.starts}
        if body.get("list_jobs"):
            answer["started_jobs"] = sorted(fleet.audit.started_jobs)
        self.write(answer)


async def main(plan: dict[str, Any]) -> None:
    """Serve the store and workers of a plan until the process is killed."""
    audit = Audit()
    workers = [
        Worker(entry["id"], entry["addr"], entry["cpu"], audit)
        for entry in plan["workers"]
    ]
    fleet = Fleet(Store(), workers, audit)
    host = "127.0.0.1"
    arguments = {"fleet": fleet}
    control = (r"/control", ControlHandler, arguments)
    store = (r"/(rows-\w+)", StoreHandler, arguments)
    HTTPServer(Application([store])).listen(plan["store"], host)
    HTTPServer(Application([control])).listen(plan["control"], host)
    for entry, worker in zip(plan["workers"], workers, strict=True):
        route = (r"/([\w-]+)", WorkerHandler, {**arguments, "worker": worker})
        HTTPServer(Application([route])).listen(entry["port"], host)
    fleet.store.put("op", "", "config", json.dumps(plan["config"]).encode())
    print("ready", flush=True)
    while True:
        for worker in workers:
            worker.end_due_runs()
            entry = {
                "service": "pool",
                "addr": worker.address,
                "zone": "north",
                "state": "ready",
                "capacity": {"cpu": worker.cpu, "memMb": 1_000_000},
                "labels": ["a", "r1"],
                "born": worker.born,
            }
            value = json.dumps(entry).encode()
            row = fleet.store.rows.get(("servers", "", worker.worker_id))
            if row is None or base64.b64decode(row["value"]) != value:
                fleet.store.put("servers", "", worker.worker_id, value)
        await asyncio.sleep(0.02)


if __name__ == "__main__":
    with open(sys.argv[1], encoding="utf-8") as file:
        asyncio.run(main(json.load(file)))
