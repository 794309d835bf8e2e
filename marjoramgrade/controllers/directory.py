"""Watches the configuration, evacuated zones and workers in the store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import Actor, Message, handles
from marjoramgrade.clock import Clock
from marjoramgrade.errors import (
    HistoryLostError,
    InvalidInputError,
    MarjoramgradeError,
    StaleAuthorityError,
    StaleReadError,
    TableError,
    TableProtocolError,
)
from marjoramgrade.messages.rows import ReadRows, RowsPage, StoredRow, WatchRows
from marjoramgrade.messages.steps import (
    AwaitConfirmedConfig,
    AwaitStepConfig,
    GetStepConfig,
    KnownConfig,
    StepConfigChanged,
    WatchWorkers,
    WorkersChanged,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.stepconfig import StepConfig
from marjoramgrade.stepjobs import StepWorker

# Longest time that a watch waits for a change. An unresponsive connection is detected
# after this time, and the store confirms the configuration at this interval; both must
# be well within the two seconds in which a change must be in force.
WATCH_WAIT_MS = 500
RETRY_MS = 100
# Every worker updates its entry with each heartbeat: 120 updates a second in a fleet of
# 176. Pausing this long after each page lets one call fetch many of them. The delay is
# harmless: a leaving worker announces two seconds ahead that it must get no more work.
WORKER_WATCH_PAUSE_MS = 150


@attrs.frozen
class DirectoryFormat:
    """Tables and keys that operators and workers write, and how to parse them.

    Attributes:
        operator_table: Table that operators write.
        worker_table: Table that workers write.
        config_key: Key of the configuration in the operators' table.
        evacuation_prefix: Prefix of the keys that name evacuated zones.
        parse_config: Parses a configuration.
        parse_worker: Parses the entry of a worker from its key and value.
    """

    operator_table: str
    worker_table: str
    config_key: str
    evacuation_prefix: str
    parse_config: Callable[[bytes], StepConfig]
    parse_worker: Callable[[str, bytes], StepWorker]


class DirectoryController(Actor):
    """Owns the latest configuration and the list of workers.

    Args:
        store: Reads rows.
        format: Where the rows are and how to parse them.
        clock: Monotonic time.
        metrics: Counts failed watches.
        subscribers: Told of each change of the configuration or the evacuated zones.
        scheduler: Told of the workers while their watch is enabled.
    """

    def __init__(
        self,
        store: Actor,
        format: DirectoryFormat,
        clock: Clock,
        metrics: Metrics,
        subscribers: tuple[Actor, ...],
        scheduler: Actor,
    ) -> None:
        super().__init__()
        self._store = store
        self._format = format
        self._clock = clock
        self._metrics = metrics
        self._subscribers = subscribers
        self._scheduler = scheduler
        self._config = StepConfig()
        # By table; times at which the store certainly had no newer rows.
        self._confirmed_ms_by_table: dict[str, int] = {}
        # Newest version of the store that a response has named; one counter for all
        # tables.
        self._newest_version = 0
        self._evacuated: frozenset[str] = frozenset()
        self._config_changed = asyncio.Event()
        self._config_confirmed = asyncio.Event()
        self._worker_by_id: dict[str, StepWorker] = {}
        self._worker_watch: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Start watching the operators' table."""
        self.spawn_critical(
            self._watch(self._format.operator_table, self._apply_operator_rows, 0)
        )

    @handles(WatchWorkers)
    async def _watch_workers(self, message: WatchWorkers) -> None:
        if self._worker_watch is not None:
            self._worker_watch.cancel()
            self._worker_watch = None
        if message.enabled:
            self._worker_by_id = {}
            self._worker_watch = self.spawn_critical(
                self._watch(
                    self._format.worker_table,
                    self._apply_worker_rows,
                    WORKER_WATCH_PAUSE_MS,
                )
            )

    @handles(GetStepConfig)
    async def _get_config(self, message: GetStepConfig) -> KnownConfig:
        return self._known_config()

    @handles(AwaitConfirmedConfig)
    async def _await_confirmed_config(self, message: AwaitConfirmedConfig) -> Any:
        return self.spawn(self._await_confirmation(message))

    def _known_config(self) -> KnownConfig:
        confirmed_ms = self._confirmed_ms_by_table.get(self._format.operator_table, 0)
        return KnownConfig(self._config, confirmed_ms)

    async def _await_confirmation(self, message: AwaitConfirmedConfig) -> KnownConfig:
        try:
            async with asyncio.timeout(message.timeout_ms / 1000):
                while self._known_config().confirmed_ms < message.since_ms:
                    await self._config_confirmed.wait()
        except TimeoutError:
            raise StaleAuthorityError(
                f"the store has not confirmed configuration version "
                f"{self._config.version}"
            ) from None
        return self._known_config()

    @handles(AwaitStepConfig)
    async def _await_config(self, message: AwaitStepConfig) -> Any:
        return self.spawn(self._await_version(message))

    async def _await_version(self, message: AwaitStepConfig) -> StepConfig:
        try:
            async with asyncio.timeout(message.timeout_ms / 1000):
                while self._config.version < message.version:
                    changed = self._config_changed
                    await changed.wait()
        except TimeoutError:
            raise StaleAuthorityError(
                f"configuration version {message.version} has not arrived yet"
            ) from None
        return self._config

    async def _watch(
        self,
        table: str,
        changed: Callable[[tuple[StoredRow, ...], bool], None],
        pause_ms: int,
    ) -> None:
        """Read a whole table, then its changes; start over if history was lost.

        Args:
            table: The table.
            changed: Applies rows; the flag tells whether they are the whole table.
            pause_ms: Pause after each page of changes.
        """
        after: int | None = None
        while True:
            try:
                asked_ms = self._clock.now_ms()
                if after is None:
                    rows, after = await self._read_table(table)
                    changed(rows, True)
                    self._confirm(table, asked_ms)
                    continue
                known_version = self._newest_version
                page = await self._read_changes(table, after)
                after = page.version
                if page.rows:
                    changed(page.rows, False)
                if after >= known_version:
                    self._confirm(table, asked_ms)
                if page.rows:
                    await asyncio.sleep(pause_ms / 1000)
            except HistoryLostError:
                logs.log_event("history_lost", table=table, after=after or 0)
                after = None
            except MarjoramgradeError as error:
                if not isinstance(error, TableError) or isinstance(
                    error, TableProtocolError
                ):
                    # After a response that makes no sense, changes may be missing.
                    after = None
                await self._pause_after_failure(table, error)

    async def _pause_after_failure(self, table: str, error: MarjoramgradeError) -> None:
        self._metrics.retried("watch_failed")
        confirmed_ms = self._confirmed_ms_by_table.get(table, 0)
        logs.log_event(
            "watch_failed",
            table=table,
            code=error.code,
            reason=error.message,
            age_ms=self._clock.now_ms() - confirmed_ms,
        )
        await asyncio.sleep(RETRY_MS / 1000)

    def _confirm(self, table: str, asked_ms: int) -> None:
        self._confirmed_ms_by_table[table] = asked_ms
        if table == self._format.operator_table:
            self._config_confirmed.set()
            self._config_confirmed = asyncio.Event()

    async def _read_changes(self, table: str, after: int) -> RowsPage:
        """Wait for changes of a table; a long list of them may come in several pages.

        Raises:
            StaleReadError: If the response is older than the newest known state and
                has no later changes of the table.
        """
        return await self._read_page(WatchRows(table, after, WATCH_WAIT_MS), after)

    async def _read_page(
        self, message: ReadRows | WatchRows, after: int | None = None
    ) -> RowsPage:
        """Return a response of the store.

        Args:
            message: The request.
            after: Version from which on changes are read; None for the whole table.

        Raises:
            StaleReadError: If it is older than the newest state that was known when
                it was asked for. It lacks changes that may have been applied.
        """
        known_version = self._newest_version
        page: RowsPage = await self._store.ask(message)
        is_part = after is not None and page.version > after and bool(page.rows)
        if page.version < known_version and not is_part:
            raise StaleReadError(
                f"the store responded with version {page.version}, "
                f"but had version {known_version} before"
            )
        self._newest_version = max(self._newest_version, page.version)
        return page

    async def _read_table(self, table: str) -> tuple[tuple[StoredRow, ...], int]:
        rows: dict[str, StoredRow] = {}
        version: int | None = None
        first = ""
        while True:
            page = await self._read_page(ReadRows(table, "", first))
            version = page.version if version is None else version
            rows.update({row.row.key: row for row in page.rows})
            if not page.more or not page.rows:
                return tuple(rows.values()), version
            first = page.rows[-1].row.key

    # Operators

    def _apply_operator_rows(
        self, rows: tuple[StoredRow, ...], is_complete: bool
    ) -> None:
        config, evacuated = self._config, set(self._evacuated)
        prefix = self._format.evacuation_prefix
        if is_complete:
            evacuated.clear()
        for row in rows:
            if row.row.key.startswith(prefix):
                zone = row.row.key.removeprefix(prefix)
                evacuated.discard(zone)
                if not row.deleted:
                    evacuated.add(zone)
            elif row.row.key == self._format.config_key and not row.deleted:
                config = self._parse_if_newer(config, row)
        if config is self._config and evacuated == self._evacuated:
            return
        if evacuated != self._evacuated:
            logs.log_event("zones_evacuated", zones=",".join(sorted(evacuated)))
        self._config, self._evacuated = config, frozenset(evacuated)
        self._tell_subscribers(StepConfigChanged(config, self._evacuated))
        self._config_changed.set()
        self._config_changed = asyncio.Event()

    def _parse_if_newer(self, config: StepConfig, row: StoredRow) -> StepConfig:
        try:
            parsed = self._format.parse_config(row.value)
        except InvalidInputError as error:
            self._metrics.count("unreadable.config")
            logs.log_event("config_unreadable", reason=error.message)
            return config
        if parsed.version <= config.version:
            return config
        logs.log_event(
            "config_in_force",
            version=parsed.version,
            queues=len(parsed.queue_by_name),
            teams=len(parsed.team_by_name),
        )
        return parsed

    # Workers

    def _apply_worker_rows(
        self, rows: tuple[StoredRow, ...], is_complete: bool
    ) -> None:
        known = dict(self._worker_by_id)
        if is_complete:
            self._worker_by_id.clear()
        for row in rows:
            worker_id = row.row.key
            if row.deleted:
                self._worker_by_id.pop(worker_id, None)
                continue
            worker = self._parse_worker(row)
            # Another writer's entry takes no known worker away, which writes its own
            # entry again; one that has ended leaves its calls unanswered.
            worker = worker or known.get(worker_id)
            if worker is not None:
                self._worker_by_id[worker_id] = worker
        self._scheduler.tell(WorkersChanged(tuple(self._worker_by_id.values())))

    def _parse_worker(self, row: StoredRow) -> StepWorker | None:
        try:
            return self._format.parse_worker(row.row.key, row.value)
        except InvalidInputError as error:
            self._metrics.count("unreadable.worker")
            logs.log_event(
                "worker_unreadable", worker=row.row.key, reason=error.message
            )
            return None

    def _tell_subscribers(self, message: Message[None]) -> None:
        for subscriber in self._subscribers:
            subscriber.tell(message)
