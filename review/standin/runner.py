"""Stand-in of a runner, as the pages describe it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from standin.httpd import HOST, Request, Server
from standin.store import Store, now_ms

MAX_HOLD_MS = 6_000
ENDS_PER_LISTING = 500
CHECKPOINT_MS = 1_000
STOP_MS = 50
TICK_S = 0.02
# How long a connection stays silent that was used during a cut.
CUT_SILENCE_S = 10.0


class RunOfTask:
    """One run of a task."""

    def __init__(self, task: str, run: int, took_ms: int, saved: str):
        self.task = task
        self.run = run
        self.began_ms = now_ms()
        self.took_ms = took_ms
        self.saved = saved
        self.saves = 0


class Runner:
    """One machine's runner; `restart` begins a new incarnation.

    `duration_ms` gives how long a task takes, `checkpoints` whether it saves its
    progress. `record` takes a line on each event.
    """

    def __init__(
        self,
        runner_id: str,
        store: Store,
        port: int,
        record: Callable[..., None],
        duration_ms: Callable[[str], int],
        *,
        labels: tuple[str, ...] = ("a", "r1"),
        cpu: int = 64_000,
        mem_mb: int = 131_072,
        checkpoints: bool = False,
    ):
        self.runner_id = runner_id
        self.port = port
        self.labels = labels
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.is_up = False
        self._is_cut = False
        # Task, run, start and end in ms, how it ended, and when the end was taken
        # note of (0 if not); the basis of the checks.
        self.history: list[dict[str, Any]] = []
        self._store = store
        self._record = record
        self._duration_ms = duration_ms
        self._checkpoints = checkpoints
        self._checkpoint_count = 0
        self._server: Server | None = None
        self._begin_life()

    def _begin_life(self) -> None:
        self.born = int(time.time() * 1000)
        self._clock_base_ms = now_ms() - 1_000
        self._fence = 0
        self._lease_ms = 0
        self._last_seen = 0
        self._end_number = 0
        self._running: dict[tuple[str, int], RunOfTask] = {}
        self._highest_by_task: dict[str, int] = {}
        self._ended: list[list[Any]] = []
        self._entry_by_number: dict[int, dict[str, Any]] = {}
        self._entry_by_run: dict[tuple[str, int], dict[str, Any]] = {}

    def clock_ms(self) -> int:
        """Return the runner's own clock."""
        return now_ms() - self._clock_base_ms

    async def start(self) -> None:
        """Listen and register."""
        self._server = Server(self._handle)
        await self._server.listen(self.port)
        self.is_up = True
        self._register()

    def _register(self) -> None:
        document = {
            "service": "pool",
            "addr": f"{HOST}:{self.port}",
            "zone": "north",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "seq": 1,
            "capacity": {"cpu": self.cpu, "memMb": self.mem_mb},
            "labels": list(self.labels),
            "born": self.born,
        }
        self._store.put(self.runner_id, document, "servers")

    async def close(self) -> None:
        """Stop to listen."""
        self.is_up = False
        if self._server is not None:
            await self._server.close()

    async def crash(self) -> None:
        """End at once, with all that runs; the entry stays in the store."""
        await self.close()
        for run in list(self._running.values()):
            entry = self._entry_by_run[(run.task, run.run)]
            entry["ended_ms"], entry["how"] = now_ms(), "crashed"
        self._record("runner crashed", runner=self.runner_id)

    def cut_off(self) -> None:
        """Let calls and answers get lost, while all that runs goes on."""
        self._is_cut = True

    def heal(self) -> None:
        """Be reachable again; what was sent meanwhile stays lost."""
        self._is_cut = False

    async def restart(self, port: int) -> None:
        """Start again under the same id, at this port."""
        self.port = port
        self._begin_life()
        await self.start()
        self._record("runner started again", runner=self.runner_id, port=port)

    async def run_forever(self) -> None:
        """End runs that are due or whose lease has lapsed."""
        while True:
            await asyncio.sleep(TICK_S)
            if self.is_up:
                self._advance()

    def _advance(self) -> None:
        if self._running and self.clock_ms() > self._lease_ms:
            for key in list(self._running):
                self._end(key, "lapsed")
        for key, run in list(self._running.items()):
            if now_ms() - run.began_ms >= run.took_ms:
                self._end(key, "done")
            elif self._checkpoints:
                self._save(run)

    def _save(self, run: RunOfTask) -> None:
        saves = (now_ms() - run.began_ms) // CHECKPOINT_MS
        if saves > run.saves:
            run.saves = saves
            self._checkpoint_count += 1
            seed = hash((self.runner_id, run.task, run.run, self._checkpoint_count))
            run.saved = f"{seed & (2**64 - 1):016x}"

    def _end(self, key: tuple[str, int], how: str) -> None:
        run = self._running.pop(key)
        self._end_number += 1
        self._ended.append([self._end_number, run.task, run.run, how, run.saved])
        entry = self._entry_by_run[key]
        entry["ended_ms"], entry["how"] = now_ms(), how
        self._entry_by_number[self._end_number] = entry

    async def _handle(self, request: Request) -> tuple[int, Any] | None:
        if not self.is_up:
            return None
        if self._is_cut:
            await asyncio.sleep(CUT_SILENCE_S)
            return None
        if request.headers.get("x-expect-instance") != self.runner_id:
            return 421, None
        self._advance()
        body = request.json()
        if body.get("fence", 0) < self._fence:
            return self._refused("fence")
        self._fence = body.get("fence", 0)
        if request.path == "/run-start":
            return self._start_run(body)
        if request.path == "/run-stop":
            return self._stop_run(body)
        if request.path == "/hold":
            return await self._hold(body)
        if request.path == "/pace":
            return 200, {"clockMs": self.clock_ms()}
        return 404, None

    def _refused(self, reason: str) -> tuple[int, Any]:
        return 409, {"clockMs": self.clock_ms(), "reason": reason}

    def _extend(self, body: dict[str, Any]) -> None:
        until_ms = min(body.get("deadlineMs", 0), self.clock_ms() + MAX_HOLD_MS)
        self._lease_ms = max(self._lease_ms, until_ms)

    def _start_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, run = body["task"], body["run"]
        self._extend(body)
        if (task, run) in self._running:
            return 200, {"clockMs": self.clock_ms()}
        if run <= self._highest_by_task.get(task, 0):
            return self._refused("old")
        if self.clock_ms() > self._lease_ms:
            return self._refused("late")
        self._highest_by_task[task] = run
        took_ms = self._duration_ms(task)
        self._running[(task, run)] = RunOfTask(
            task, run, took_ms, body.get("saved", "")
        )
        entry = {"task": task, "run": run, "runner": self.runner_id}
        entry |= {"began_ms": now_ms(), "ended_ms": 0, "how": "", "noted_ms": 0}
        self.history.append(entry)
        self._entry_by_run[(task, run)] = entry
        return 200, {"clockMs": self.clock_ms()}

    def _stop_run(self, body: dict[str, Any]) -> tuple[int, Any]:
        task, run = body["task"], body["run"]
        self._highest_by_task[task] = max(run, self._highest_by_task.get(task, 0))
        if (task, run) in self._running:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_MS / 1000, self._end_stopped, (task, run))
        return 200, {"clockMs": self.clock_ms()}

    def _end_stopped(self, key: tuple[str, int]) -> None:
        if key in self._running:
            self._end(key, "stopped")

    async def _hold(self, body: dict[str, Any]) -> tuple[int, Any] | None:
        self._extend(body)
        self._take_note(body.get("lastSeen", 0))
        end_ms = now_ms() + min(body.get("waitMs", 0), 2_000)
        while not self._ended and now_ms() < end_ms:
            await asyncio.sleep(0.01)
        if self._is_cut:
            await asyncio.sleep(CUT_SILENCE_S)
            return None
        running = []
        for run in self._running.values():
            percent = min(99, (now_ms() - run.began_ms) * 100 // max(run.took_ms, 1))
            running.append([run.task, run.run, run.saved, percent, 0])
        return 200, {
            "clockMs": self.clock_ms(),
            "born": self.born,
            "running": running,
            "ended": self._ended[:ENDS_PER_LISTING],
        }

    def _take_note(self, last_seen: int) -> None:
        for number in range(self._last_seen + 1, min(last_seen, self._end_number) + 1):
            self._entry_by_number[number]["noted_ms"] = now_ms()
        if last_seen > self._last_seen:
            self._last_seen = last_seen
            self._ended = [entry for entry in self._ended if entry[0] > last_seen]

    def most_pending_ends(self) -> int:
        """Return how many ends are not taken note of yet."""
        return len(self._ended)
