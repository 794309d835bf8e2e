"""Synchronizes one holder's grants of the team limits with the table.

A controller owns a manager and queries it before each start. Each shard has two
holders: one for tasks and one for requests.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from marjoramgrade.clock import Clock
from marjoramgrade.decisions import grants
from marjoramgrade.decisions.grants import GrantsRow, combine, positive_part
from marjoramgrade.decisions.limits import HeldGrants
from marjoramgrade.errors import (
    CheckFailedError,
    MarjoramgradeError,
    NotOwnerError,
    TableUnavailableError,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.model import Config, Team
from marjoramgrade.resources import ZERO_RESOURCES, Resources
from marjoramgrade.store import Store, StoredGrants

# Each holder refreshes in one transaction per second, or sooner if a team was refused.
REFRESH_INTERVAL_MS = 1_000
UNMET_DEMAND_INTERVAL_MS = 200
# Unused grant returns to the pool after this time, so that other shards can
# allocate it.
UNUSED_GRANT_TIMEOUT_MS = 2_000
# A team that was refused before each refresh doubles its request, up to this
# multiple of the refused amount. Requesting one task per transaction would start
# only 5 tasks/s; excess grant returns after UNUSED_GRANT_TIMEOUT_MS.
MAX_DEMAND_MULTIPLIER = 64


@attrs.define
class _Demand:
    """Unmet demand of a team, and the time since which its grant is partly unused.

    Attributes:
        wanted: Largest amount refused since the last refresh.
        step: Multiple of `wanted` that the next refresh requests.
        idle_since_ms: Time since which the team has had unused grant, or None.
    """

    wanted: Resources = ZERO_RESOURCES
    step: int = 1
    idle_since_ms: int | None = None

    def pop_wanted_amount(self) -> Resources:
        """Return the amount to request now and set the multiple for the next one."""
        wanted_amount = self.wanted.scaled(self.step, 1)
        is_refused = self.wanted != ZERO_RESOURCES
        self.step = min(2 * self.step, MAX_DEMAND_MULTIPLIER) if is_refused else 1
        self.wanted = ZERO_RESOURCES
        return wanted_amount


class GrantManager:
    """Manages the grants of one holder under one epoch.

    Args:
        holder: Name of the holder in the grants rows.
        epoch: Epoch of the shard's owner.
        store: Typed access to the table.
        clock: Monotonic time.
        metrics: Counters.
    """

    def __init__(
        self, holder: str, epoch: int, store: Store, clock: Clock, metrics: Metrics
    ) -> None:
        self._holder = holder
        self._epoch = epoch
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._held_grants = HeldGrants(holder, epoch)
        self._config = Config()
        self._read_version = 0
        self._config_version_by_team: dict[str, int] = {}
        self._demand_by_team: dict[str, _Demand] = {}
        self._next_refresh_ms = 0
        self._is_refreshing = False

    def set_config(self, config: Config) -> None:
        """Apply the limits of a configuration."""
        self._config = config

    def may_use(self, team: str, amount: Resources, in_use: Resources) -> bool:
        """Return whether a team may use an amount on top of what it uses.

        A refused amount is recorded, so that the next refresh requests it.
        """
        if self._limit_of(team) == ZERO_RESOURCES:
            return True
        self._held_grants.set_reserved(team, in_use)
        if amount.fits(self._held_grants.headroom(team)):
            return True
        demand = self._demand_by_team.setdefault(team, _Demand())
        # Requesting one task at a time would allow one start per refresh. Requesting
        # as much as is in use doubles the grant until it covers the demand.
        growth = combine(
            lambda need, use: max(need, use) if need else 0, amount, in_use
        )
        demand.wanted = combine(max, demand.wanted, growth)
        return False

    def excess(self, team: str, in_use: Resources) -> Resources:
        """Return by how much a team exceeds a limit that was lowered."""
        if self._limit_of(team) == ZERO_RESOURCES:
            return ZERO_RESOURCES
        self._held_grants.set_reserved(team, in_use)
        row = self._held_grants.row(team)
        is_claimed = row is not None and self._holder in row.epoch_by_shard
        return self._held_grants.excess(team) if is_claimed else ZERO_RESOURCES

    def is_due(self, now_ms: int) -> bool:
        """Return whether `refresh` should run now."""
        if self._is_refreshing:
            return False
        if any(d.wanted != ZERO_RESOURCES for d in self._demand_by_team.values()):
            return now_ms >= self._next_refresh_ms - REFRESH_INTERVAL_MS + (
                UNMET_DEMAND_INTERVAL_MS
            )
        return now_ms >= self._next_refresh_ms

    async def refresh(
        self, in_use_by_team: Mapping[str, Resources], *, is_reconciled: bool
    ) -> None:
        """Read the rows, then claim, allocate, return and confirm in one transaction.

        Args:
            in_use_by_team: Resources that each team uses at this holder.
            is_reconciled: Whether all use is known; until then no grant is
                returned or confirmed.
        """
        self._is_refreshing = True
        self._next_refresh_ms = self._clock.now_ms() + REFRESH_INTERVAL_MS
        try:
            await self._read()
            for team, in_use in in_use_by_team.items():
                self._held_grants.set_reserved(team, in_use)
            await self._write(self._plan(is_reconciled))
        except MarjoramgradeError:
            self._metrics.retried("grants_table_error")
        finally:
            self._is_refreshing = False

    def _limit_of(self, team: str) -> Resources:
        known = self._config.teams_by_name.get(team)
        return ZERO_RESOURCES if known is None else known.limit

    async def _read(self) -> None:
        page = await self._store.read_changed_grants(self._read_version)
        for stored in page.grants:
            self._observe(stored)
        self._read_version = max(self._read_version, page.version)

    def _observe(self, stored: StoredGrants) -> None:
        self._held_grants.adopt(stored.row, stored.version)
        self._config_version_by_team[stored.row.team] = stored.config_version

    def _plan(self, is_reconciled: bool) -> list[StoredGrants]:
        """Return the rows to write, at most one change per team."""
        planned = []
        for team in self._config.teams_by_name.values():
            row = self._next_row(team, is_reconciled)
            if row is None:
                continue
            config_version = max(
                self._config_version_by_team.get(team.name, 0), self._config.version
            )
            version = self._held_grants.version(team.name)
            planned.append(StoredGrants(row, version, config_version))
        return planned

    def _next_row(self, team: Team, is_reconciled: bool) -> GrantsRow | None:
        """Return the row to write for a team, or None if nothing is to change."""
        name = team.name
        row = self._held_grants.row(name)
        demand = self._demand_by_team.setdefault(name, _Demand())
        wanted = demand.pop_wanted_amount()
        if row is None:
            return GrantsRow(name, team.limit) if team.limit != ZERO_RESOURCES else None
        if self._held_grants.is_pending(name):
            # Writing the row unchanged raises its version, so that the pending write
            # can no longer take effect.
            return row
        is_newer = self._config.version > self._config_version_by_team.get(name, 0)
        if is_newer and row.limit != team.limit:
            return grants.with_limit(row, team.limit)
        if team.limit == ZERO_RESOURCES:
            return None
        try:
            return self._begin_grant_change(name, demand, wanted, is_reconciled)
        except NotOwnerError:
            # A later owner has claimed the grant; this holder has not been notified
            # of the change of owner yet.
            return None

    def _begin_grant_change(
        self, name: str, demand: _Demand, wanted: Resources, is_reconciled: bool
    ) -> GrantsRow | None:
        """Return the row that claims, allocates, confirms or returns grant, or None."""
        claimed = self._held_grants.begin_claim(name)
        if claimed is not None:
            return claimed
        lacking = self._held_grants.wanted(name, wanted)
        if lacking != ZERO_RESOURCES:
            demand.idle_since_ms = None
            return self._held_grants.begin_allocate(name, lacking)
        if not is_reconciled:
            return None
        return self._held_grants.begin_confirm(name) or self._return_unused(
            name, demand
        )

    def _return_unused(self, name: str, demand: _Demand) -> GrantsRow | None:
        now_ms = self._clock.now_ms()
        if positive_part(self._held_grants.headroom(name)) == ZERO_RESOURCES:
            demand.idle_since_ms = None
            return None
        if demand.idle_since_ms is None:
            demand.idle_since_ms = now_ms
        if now_ms < demand.idle_since_ms + UNUSED_GRANT_TIMEOUT_MS:
            return None
        demand.idle_since_ms = None
        return self._held_grants.begin_return(name, self._held_grants.headroom(name))

    async def _write(self, planned: list[StoredGrants]) -> None:
        if not planned:
            return
        try:
            version = await self._store.write_grants(planned)
        except CheckFailedError:
            # An earlier attempt whose response was lost may have taken effect and been
            # overwritten since; the next read returns the current row.
            self._metrics.retried("grants_conflict")
            return
        except TableUnavailableError:
            for stored in planned:
                self._held_grants.cancel(stored.row.team)
            self._metrics.retried("grants_unavailable")
            return
        for stored in planned:
            self._observe(attrs.evolve(stored, version=version))
