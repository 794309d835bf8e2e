"""Watches what operators and workers write to the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.errors import (
    HistoryLostError,
    InvalidInputError,
    StaleAuthorityError,
    TableError,
)
from marjoramgrade.messages.rows import ReadRows, RowsPage, StoredRow, WatchRows
from marjoramgrade.messages.steps import (
    AwaitStepConfig,
    GetStepConfig,
    StepConfigChanged,
    WatchWorkers,
    WorkersChanged,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.stepconfig import StepConfig
from marjoramgrade.stepjobs import StepWorker

# A watch waits this long for a change: within it a connection that went silent is
# noticed, well inside the two seconds in which a change must be in force.
WATCH_WAIT_MS = 1_000
RETRY_MS = 100
# Every worker changes its entry with each heartbeat, 120 times a second in a fleet of
# 176. Looking this long after the last look costs a call for many of them; a worker
# that leaves says so two seconds before work must stop going there.
WORKER_WATCH_PAUSE_MS = 150


@attrs.frozen
class DirectoryFormat:
    """Where operators and workers write, and how to read it.

    Attributes:
        operator_table: Table of the operators.
        worker_table: Table of the workers.
        config_key: Key of the configuration in the operators' table.
        evacuation_prefix: Start of the keys that name evacuated zones.
        parse_config: Reads a configuration.
        parse_worker: Reads the entry of a worker.
    """

    operator_table: str
    worker_table: str
    config_key: str
    evacuation_prefix: str
    parse_config: Callable[[bytes], StepConfig]
    parse_worker: Callable[[str, bytes], StepWorker]


class DirectoryController(Actor):
    """Owns the newest configuration and the list of workers.

    Args:
        store: Reads rows.
        format: Where they lie and how to read them.
        metrics: Counters.
        subscribers: Told of each change of the configuration.
        scheduler: Told of the workers while it asks for them.
    """

    def __init__(
        self,
        store: Actor,
        format: DirectoryFormat,
        metrics: Metrics,
        subscribers: tuple[Actor, ...],
        scheduler: Actor,
    ) -> None:
        super().__init__()
        self._store = store
        self._format = format
        self._metrics = metrics
        self._subscribers = subscribers
        self._scheduler = scheduler
        self._config = StepConfig()
        self._evacuated: frozenset[str] = frozenset()
        self._changed = asyncio.Event()
        self._worker_by_id: dict[str, StepWorker] = {}
        self._worker_watch: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Start to watch the operators' table."""
        self.spawn_critical(
            self._watch(self._format.operator_table, self._operators_wrote, 0)
        )

    @handles(WatchWorkers)
    async def _watch_workers(self, message: WatchWorkers) -> None:
        if self._worker_watch is not None:
            self._worker_watch.cancel()
            self._worker_watch = None
        if message.enabled:
            self._worker_by_id = {}
            self._worker_watch = self.spawn(
                self._watch(
                    self._format.worker_table,
                    self._workers_wrote,
                    WORKER_WATCH_PAUSE_MS,
                )
            )

    @handles(GetStepConfig)
    async def _get(self, message: GetStepConfig) -> StepConfig:
        return self._config

    @handles(AwaitStepConfig)
    async def _await(self, message: AwaitStepConfig) -> Any:
        return self.spawn(self._await_version(message))

    async def _await_version(self, message: AwaitStepConfig) -> StepConfig:
        try:
            async with asyncio.timeout(message.timeout_ms / 1000):
                while self._config.version < message.version:
                    changed = self._changed
                    await changed.wait()
        except TimeoutError:
            raise StaleAuthorityError(
                f"version {message.version} of the configuration is not here yet"
            ) from None
        return self._config

    async def _watch(
        self,
        table: str,
        changed: Callable[[tuple[StoredRow, ...], bool], None],
        pause_ms: int,
    ) -> None:
        """Read a table whole, then its changes, and again whole after a gap."""
        after: int | None = None
        while True:
            try:
                if after is None:
                    rows, after = await self._read_whole(table)
                    changed(rows, True)
                page = await self._store.ask(WatchRows(table, after, WATCH_WAIT_MS))
                after = page.version
                if page.rows:
                    changed(page.rows, False)
                    await asyncio.sleep(pause_ms / 1000)
            except HistoryLostError:
                logs.log_event("history_lost", table=table, after=after or 0)
                after = None
            except TableError as error:
                self._metrics.retried("watch_failed")
                logs.log_event("watch_failed", table=table, code=error.code)
                await asyncio.sleep(RETRY_MS / 1000)

    async def _read_whole(self, table: str) -> tuple[tuple[StoredRow, ...], int]:
        rows: dict[str, StoredRow] = {}
        version: int | None = None
        first = ""
        while True:
            page: RowsPage = await self._store.ask(ReadRows(table, "", first))
            version = page.version if version is None else version
            rows.update({row.row.key: row for row in page.rows})
            if not page.more or not page.rows:
                return tuple(rows.values()), version
            first = page.rows[-1].row.key

    # Operators

    def _operators_wrote(self, rows: tuple[StoredRow, ...], is_whole: bool) -> None:
        config, evacuated = self._config, set(self._evacuated)
        prefix = self._format.evacuation_prefix
        if is_whole:
            evacuated.clear()
        for row in rows:
            if row.row.key.startswith(prefix):
                zone = row.row.key.removeprefix(prefix)
                evacuated.discard(zone)
                if not row.deleted:
                    evacuated.add(zone)
            elif row.row.key == self._format.config_key and not row.deleted:
                config = self._newer(config, row)
        if config is self._config and evacuated == self._evacuated:
            return
        if evacuated != self._evacuated:
            logs.log_event("zones_evacuated", zones=",".join(sorted(evacuated)))
        self._config, self._evacuated = config, frozenset(evacuated)
        self._tell(StepConfigChanged(config, self._evacuated))
        self._changed.set()
        self._changed = asyncio.Event()

    def _newer(self, config: StepConfig, row: StoredRow) -> StepConfig:
        try:
            read = self._format.parse_config(row.value)
        except InvalidInputError as error:
            logs.log_event("config_unreadable", reason=error.message)
            return config
        if read.version <= config.version:
            return config
        logs.log_event(
            "config_in_force",
            version=read.version,
            queues=len(read.queue_by_name),
            teams=len(read.team_by_name),
        )
        return read

    # Workers

    def _workers_wrote(self, rows: tuple[StoredRow, ...], is_whole: bool) -> None:
        if is_whole:
            self._worker_by_id.clear()
        for row in rows:
            if row.deleted:
                self._worker_by_id.pop(row.row.key, None)
                continue
            try:
                worker = self._format.parse_worker(row.row.key, row.value)
            except InvalidInputError as error:
                logs.log_event(
                    "worker_unreadable", worker=row.row.key, reason=error.message
                )
                self._worker_by_id.pop(row.row.key, None)
                continue
            self._worker_by_id[row.row.key] = worker
        self._scheduler.tell(WorkersChanged(tuple(self._worker_by_id.values())))

    def _tell(self, message: Message[None]) -> None:
        for subscriber in self._subscribers:
            subscriber.tell(message)
