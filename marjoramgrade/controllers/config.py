"""Reads, changes and announces the configuration, and confirms that it is current.

A promise is a peer's time-limited guarantee that it makes no changes.
"""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Sequence
from typing import Any

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import Clock
from marjoramgrade.decisions.freshness import FreshnessLease
from marjoramgrade.decisions.versions import (
    Change,
    ConfigStore,
    apply_change,
    is_applied,
    next_version,
)
from marjoramgrade.errors import (
    CheckFailedError,
    ConflictError,
    MarjoramgradeError,
    OutcomeUnknownError,
    TableRequiredError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.logs import log_event
from marjoramgrade.messages.configuration import (
    ChangeConfig,
    ConfigConfirmed,
    ConfigPushed,
    GetConfig,
    GrantKey,
    KeyGranted,
)
from marjoramgrade.messages.peers import TellPeers
from marjoramgrade.messages.promises import (
    BeginWrite,
    ConfigAttested,
    EndWrite,
    TableReachability,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.model import Config
from marjoramgrade.store import Store, StoredConfig

READ_INTERVAL_MS = 1_000
REBASE_ATTEMPTS = 10


class ConfigController(Actor):
    """Owns this instance's copy of the configuration.

    Args:
        store: Typed access to the table.
        peers: Sends messages to the other entry instances.
        authority: Controller of the promises.
        clock: Monotonic time.
        metrics: Counters.
        subscribers: Actors that are told `ConfigConfirmed`.
    """

    def __init__(
        self,
        store: Store,
        peers: Actor,
        authority: Actor,
        clock: Clock,
        metrics: Metrics,
        subscribers: Sequence[Actor],
    ) -> None:
        super().__init__()
        self._store = store
        self._peers = peers
        self._authority = authority
        self._clock = clock
        self._metrics = metrics
        self._subscribers = tuple(subscribers)
        self._versions = ConfigStore()
        self._freshness = FreshnessLease()
        self._row_version = 0
        self._read_version = 0
        self._reading: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Start reading the table at intervals."""
        self.spawn_critical(self._read_forever())

    @handles(GetConfig)
    async def _get(self, message: GetConfig) -> ConfigConfirmed:
        return self._confirmed()

    @handles(ConfigPushed)
    async def _config_pushed(self, message: ConfigPushed) -> None:
        if message.version > self._versions.current.version:
            self.spawn(self._read())

    @handles(ConfigAttested)
    async def _config_attested(self, message: ConfigAttested) -> None:
        """Extend the freshness lease while the table is unreachable.

        The promises of all members show that the configuration is still current.
        """
        if message.version == self._versions.current.version:
            self._freshness.confirm(message.asked_ms)
            self._publish()

    @handles(ChangeConfig)
    async def _change(self, message: ChangeConfig) -> Any:
        return self.spawn(self._commit_change(message))

    @handles(GrantKey)
    async def _grant_key(self, message: GrantKey) -> Any:
        return self.spawn(self._commit_key(message))

    async def _read_forever(self) -> None:
        while True:
            await self._read()
            await asyncio.sleep(READ_INTERVAL_MS / 1000)

    async def _read(self) -> None:
        """Read the table; an older version than the current one confirms nothing."""
        asked_ms = self._clock.now_ms()
        try:
            stored = await self._store.read_config()
        except MarjoramgradeError:
            self._metrics.retried("config_table_error")
            self._authority.tell(TableReachability(False))
            return
        self._authority.tell(TableReachability(True))
        if stored.config.version < self._versions.current.version:
            self._metrics.retried("config_stale_read")
            return
        self._adopt(stored, asked_ms)

    def _adopt(self, stored: StoredConfig, asked_ms: int) -> None:
        """Adopt a configuration that was current at `asked_ms` or later."""
        try:
            is_newer = self._versions.accept_if_newer(stored.config)
        except MarjoramgradeError:
            self._metrics.retried("config_invalid")
            return
        if is_newer:
            self._row_version = stored.row_version
            log_event("config_in_force", version=stored.config.version)
        self._read_version = max(self._read_version, stored.read_version)
        self._freshness.confirm(asked_ms)
        self._publish()

    def _publish(self) -> None:
        message = self._confirmed()
        for subscriber in self._subscribers:
            subscriber.tell(message)

    def _confirmed(self) -> ConfigConfirmed:
        return ConfigConfirmed(
            self._versions.current,
            self._freshness.until_ms,
            self._row_version,
            self._read_version,
        )

    async def _commit_key(self, message: GrantKey) -> KeyGranted:
        key = message.key
        change = ChangeConfig("keys", key.name, key, message.expected_version)
        config = await self._commit_change(change)
        return KeyGranted(key, message.secret, config.version)

    async def _commit_change(self, message: ChangeConfig) -> Config:
        """Commit a change unless a promise to make no changes is in force."""
        write_id = uuid.uuid4().hex
        await self._authority.ask(BeginWrite(write_id))
        try:
            changed = await self._rebase_and_write(message, write_id)
        except WriteOutcomeUnknownError as error:
            self.spawn(self._resolve_write(write_id))
            raise OutcomeUnknownError(error.message) from error
        except TableUnavailableError as error:
            self._authority.tell(EndWrite(write_id))
            raise TableRequiredError(error.message) from error
        except MarjoramgradeError:
            self._authority.tell(EndWrite(write_id))
            raise
        self._authority.tell(EndWrite(write_id))
        return changed

    async def _rebase_and_write(self, message: ChangeConfig, write_id: str) -> Config:
        """Apply a change to the newest version; retry after each conflicting change."""
        base_version = message.expected_version
        for _ in range(REBASE_ATTEMPTS):
            asked_ms = self._clock.now_ms()
            stored = await self._store.read_config()
            if base_version is None:
                base_version = stored.config.version
            change = Change(
                message.kind, message.name, message.value, base_version, write_id
            )
            if is_applied(stored.config, change):
                return stored.config
            changed = next_version(apply_change(stored.config, change))
            try:
                row_version = await self._store.write_config(
                    changed, stored.row_version
                )
            except CheckFailedError:
                self._metrics.retried("config_conflict")
                continue
            # The write checked that nothing else changed the row since it was read.
            self._adopt(StoredConfig(changed, row_version, row_version), asked_ms)
            self._peers.tell(TellPeers(ConfigPushed(changed.version)))
            return changed
        raise ConflictError(
            "the configuration was changed concurrently during every attempt",
            expected_version=stored.config.version,
            current_version=stored.config.version,
        )

    async def _resolve_write(self, write_id: str) -> None:
        """Ensure that a write with an unknown outcome cannot take effect later.

        Every transaction checks the version of the row, so any later version
        makes the unresolved write fail.
        """
        while True:
            await asyncio.sleep(READ_INTERVAL_MS / 1000)
            try:
                stored = await self._store.read_config()
                await self._store.write_config(
                    next_version(stored.config), stored.row_version
                )
            except CheckFailedError:
                pass
            except MarjoramgradeError:
                self._metrics.retried("config_table_error")
                continue
            self._authority.tell(EndWrite(write_id))
            return
