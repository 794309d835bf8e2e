"""Stand-in for the users' platform: store, workers and operator in one process.

It speaks the protocol of the platform's pages as far as jobs of steps need it and
audits what it sees. The control handler takes `mode` of the store (`ok`, `busy`,
`slow`, `lost`), `crash` (a worker that starts again), `late` (share of the orders to
workers that get no answer and are carried out later), and returns the audit.
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

LONGEST_LEASE_MS = 6_000
LATE_MS = 1_500
SLOW_MS = 400


def now_ms() -> int:
    """Return the stand-in's clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


@attrs.define
class Store:
    """Rows with versions, and how the store behaves."""

    rows: dict[tuple[str, str, str], dict[str, Any]] = attrs.field(factory=dict)
    version: int = 0
    mode: str = "ok"
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def put(self, table: str, part: str, key: str, value: bytes | None) -> None:
        """Write or remove a row in a transaction of its own."""
        self.version += 1
        self._write(table, part, key, value)
        self._notify()

    def commit(self, body: dict[str, Any]) -> list[dict[str, Any]] | None:
        """Apply a transaction; returns the checked rows if a check fails."""
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
    """One worker; its runs live in memory and end by the clock."""

    worker_id: str
    address: str
    cpu: int
    audit: Audit
    born: int = attrs.field(factory=lambda: int(time.time() * 1000))
    fence: int = 0
    lease_ms: int = 0
    running: dict[tuple[str, int], tuple[int, int]] = attrs.field(factory=dict)
    highest: dict[str, int] = attrs.field(factory=dict)
    ended: list[list[Any]] = attrs.field(factory=list)
    number: int = 0

    def crash(self) -> None:
        """Start again with nothing of before."""
        for task, run in self.running:
            self.audit.ended(task, run, "crashed")
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.fence = self.lease_ms = self.number = 0
        self.running.clear()
        self.highest.clear()
        self.ended.clear()

    def settle(self) -> None:
        """End the runs that are over, and all once the lease has run out."""
        if self.running and now_ms() > self.lease_ms:
            for task, run in list(self.running):
                self._end(task, run, "lapsed")
        for (task, run), (due_ms, _) in list(self.running.items()):
            if now_ms() >= due_ms:
                self._end(task, run, "done")

    def _end(self, task: str, run: int, how: str) -> None:
        del self.running[(task, run)]
        self.number += 1
        self.ended.append([self.number, task, run, how, ""])
        self.audit.ended(task, run, how)

    def _admits(self, body: dict[str, Any]) -> bool:
        if body.get("fence", 0) < self.fence:
            return False
        self.fence = body.get("fence", 0)
        granted = min(body.get("deadlineMs", 0), now_ms() + LONGEST_LEASE_MS)
        self.lease_ms = max(self.lease_ms, granted)
        return True

    def start(self, body: dict[str, Any]) -> str:
        """Carry a start out; returns the reason of a refusal, or empty."""
        self.settle()
        task, run = body["task"], body["run"]
        if not self._admits(body):
            return "fence"
        if (task, run) in self.running:
            return ""
        if run <= self.highest.get(task, 0):
            return "old"
        if now_ms() > self.lease_ms:
            return "late"
        cpu, took_ms = (int(part) for part in body["spec"].split(":")[:2])
        self.highest[task] = run
        self.running[(task, run)] = (now_ms() + took_ms, cpu)
        used = sum(cpu for _, cpu in self.running.values())
        self.audit.started(self, task, run, used)
        return ""

    def stop(self, body: dict[str, Any]) -> str:
        """Carry a stop out."""
        self.settle()
        if not self._admits(body):
            return "fence"
        task, run = body["task"], body["run"]
        self.highest[task] = max(run, self.highest.get(task, 0))
        if (task, run) in self.running:
            self._end(task, run, "stopped")
        return ""

    def hold(self, body: dict[str, Any]) -> str:
        """Renew the lease and forget what was acknowledged."""
        self.settle()
        if not self._admits(body):
            return "fence"
        seen = body.get("lastSeen", 0)
        for entry in self.ended:
            if entry[0] <= seen and entry[3] == "done":
                self.audit.noted(entry[1])
        self.ended = [entry for entry in self.ended if entry[0] > seen]
        return ""

    def listing(self) -> dict[str, Any]:
        """Return the answer to a renewal."""
        running = [[task, run, "", 50, 0] for task, run in self.running]
        return {
            "born": self.born,
            "clockMs": now_ms(),
            "running": running,
            "ended": self.ended[:500],
        }


@attrs.define
class Audit:
    """What must never happen, as the workers see it."""

    violations: list[str] = attrs.field(factory=list)
    starts: int = 0
    done: set[str] = attrs.field(factory=set)
    running: dict[str, tuple[str, int]] = attrs.field(factory=dict)

    def started(self, worker: Worker, task: str, run: int, used: int) -> None:
        """Check a start."""
        self.starts += 1
        where = f"{task} run {run} on {worker.worker_id}"
        if used > worker.cpu:
            self.violations.append(f"overcommitted: {where} uses {used}")
        if task in self.running:
            self.violations.append(f"twice: {where} beside {self.running[task]}")
        if task in self.done:
            self.violations.append(f"after its end: {where}")
        self.running[task] = (worker.worker_id, run)

    def ended(self, task: str, run: int, how: str) -> None:
        """Note an end."""
        if self.running.get(task, ("", 0))[1] == run:
            del self.running[task]

    def noted(self, task: str) -> None:
        """Note that a done task was acknowledged; it must never start again."""
        self.done.add(task)


@attrs.define
class Fleet:
    """Everything that the handlers share."""

    store: Store
    workers: list[Worker]
    audit: Audit
    late_share: float = 0.0


class StoreHandler(RequestHandler):
    """Answers the calls to the store."""

    def initialize(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.store = fleet.store

    async def prepare(self) -> None:
        if self.store.mode == "busy":
            self.send_error(503)
        elif self.store.mode == "slow":
            await asyncio.sleep(SLOW_MS / 1000)

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
    """Answers the orders to one worker."""

    def initialize(self, fleet: Fleet, worker: Worker) -> None:
        self.fleet = fleet
        self.worker = worker

    async def post(self, verb: str) -> None:
        body = json.loads(self.request.body)
        worker = self.worker
        if self.request.headers.get("X-Expect-Instance") != worker.worker_id:
            self.set_status(421)
            return
        act = {"run-start": worker.start, "run-stop": worker.stop, "hold": worker.hold}
        if random.random() < self.fleet.late_share:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_MS / 1000, act[verb], body)
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True
            return
        reason = act[verb](body)
        if verb == "hold" and not reason:
            end_ms = now_ms() + body.get("waitMs", 0)
            while not worker.ended and now_ms() < end_ms:
                await asyncio.sleep(0.01)
                worker.settle()
            self.write(worker.listing())
            return
        if reason:
            self.set_status(409)
        self.write({"clockMs": now_ms(), "reason": reason})


class ControlHandler(RequestHandler):
    """Changes the behaviour and tells the audit."""

    def initialize(self, fleet: Fleet) -> None:
        self.fleet = fleet

    def post(self) -> None:
        body = json.loads(self.request.body)
        fleet = self.fleet
        fleet.store.mode = body.get("mode", fleet.store.mode)
        fleet.late_share = body.get("late", fleet.late_share)
        if "crash" in body:
            fleet.workers[body["crash"]].crash()
        for worker in fleet.workers:
            worker.settle()
        self.write({"violations": fleet.audit.violations, "starts": fleet.audit.starts})


async def main(plan: dict[str, Any]) -> None:
    """Serve what a plan describes until the process is ended."""
    audit = Audit()
    workers = [
        Worker(entry["id"], entry["addr"], entry["cpu"], audit)
        for entry in plan["workers"]
    ]
    fleet = Fleet(Store(), workers, audit)
    host = "127.0.0.1"
    shared = {"fleet": fleet}
    control = (r"/control", ControlHandler, shared)
    store = (r"/(rows-\w+)", StoreHandler, shared)
    HTTPServer(Application([store])).listen(plan["store"], host)
    HTTPServer(Application([control])).listen(plan["control"], host)
    for entry, worker in zip(plan["workers"], workers, strict=True):
        route = (r"/([\w-]+)", WorkerHandler, {**shared, "worker": worker})
        HTTPServer(Application([route])).listen(entry["port"], host)
    fleet.store.put("op", "", "config", json.dumps(plan["config"]).encode())
    print("ready", flush=True)
    while True:
        for worker in workers:
            worker.settle()
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
