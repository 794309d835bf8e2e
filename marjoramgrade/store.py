"""Typed reads and writes of all persistent state through a `Table`."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Mapping, Sequence

import attrs

from marjoramgrade.decisions.grants import GrantsRow
from marjoramgrade.decisions.ownership import ShardRow
from marjoramgrade.documents import (
    parse_config,
    parse_job,
    parse_resources,
    serialize_config,
    serialize_job,
    serialize_resources,
)
from marjoramgrade.errors import (
    CheckFailedError,
    InvalidInputError,
    ProtocolError,
)
from marjoramgrade.messages.jobs import ShardFence, StoredJob, WriteJob
from marjoramgrade.messages.peers import Member
from marjoramgrade.model import Config
from marjoramgrade.resources import Resources
from marjoramgrade.table import ABSENT, Row, RowValue, Table, Transaction

CONFIG_KEY = "config"
EPOCHS_PREFIX = "epochs/"
GRANTS_PREFIX = "grants/"
JOBS_PREFIX = "jobs/"
MEMBERS_PREFIX = "members/"
REQUESTS_PREFIX = "requests/"
ROSTERS_PREFIX = "rosters/"
SHARDS_PREFIX = "shards/"


@attrs.frozen
class StoredConfig:
    """The configuration and the version of its row.

    Attributes:
        config: The configuration.
        row_version: Commit number of the row.
        read_version: Commit number up to which this is the newest configuration.
    """

    config: Config
    row_version: int
    read_version: int


NO_CONFIG = StoredConfig(Config(), ABSENT, ABSENT)


@attrs.frozen
class StoredShard:
    """The ownership row of a shard and its version."""

    row: ShardRow
    version: int


@attrs.frozen
class StoredRoster:
    """The workers that may run tasks of a shard, and the version of the row."""

    worker_ids: frozenset[str]
    version: int


@attrs.frozen
class JobsPage:
    """Jobs that changed after a version.

    Attributes:
        version: Every change up to this commit number is in the page.
        jobs: The changed jobs.
    """

    version: int
    jobs: tuple[StoredJob, ...]


@attrs.frozen
class StoredGrants:
    """The grants row of a team.

    Attributes:
        row: How the team's limit is divided.
        version: Version of the row.
        config_version: Version of the configuration that the limit is from.
    """

    row: GrantsRow
    version: int
    config_version: int


@attrs.frozen
class GrantsPage:
    """Grants rows that changed after a version.

    Attributes:
        version: Every change up to this commit number is in the page.
        grants: The changed rows.
    """

    version: int
    grants: tuple[StoredGrants, ...]


@attrs.frozen
class RequestRecord:
    """The id of a non-idempotent request that is about to run."""

    team: str
    request_id: str

    @property
    def key(self) -> str:
        """Table key of the record's row."""
        return f"{REQUESTS_PREFIX}{self.team}/{self.request_id}"


class Store:
    """Typed access to the platform's table.

    Args:
        table: The table client.
    """

    def __init__(self, table: Table) -> None:
        self._table = table
        self._known_config = NO_CONFIG

    async def read_config(self) -> StoredConfig:
        """Return the configuration, empty with version zero if there is none.

        The row has 22 KB with 61 teams and rarely changes, so it is only
        transferred if it is newer than the version read last.
        """
        known = self._known_config
        page = await self._table.changes(CONFIG_KEY, known.row_version)
        if page.version < known.row_version:
            # The table responded from an older state, which has no changes after
            # the known version, so read the row as of that state.
            page = await self._table.changes(CONFIG_KEY)
            known = NO_CONFIG
        for row in page.rows:
            if row.key != CONFIG_KEY:
                continue
            known = NO_CONFIG
            if row.value is not None:
                known = StoredConfig(
                    parse_config(dict(row.value)), row.version, page.version
                )
        self._known_config = known
        return attrs.evolve(known, read_version=page.version)

    async def write_config(self, config: Config, expected_version: int) -> int:
        """Write the configuration and return its new version.

        Raises:
            CheckFailedError: If the row has another version.
            TableError: If the table did not respond.
        """
        document = serialize_config(config)
        return await self._commit_row(CONFIG_KEY, document, expected_version)

    async def read_shard(self, shard: str) -> StoredShard:
        """Return the ownership row of a shard, version zero if there is none."""
        row = await self._table.read(SHARDS_PREFIX + shard)
        if row is None or row.value is None:
            return StoredShard(ShardRow(shard), ABSENT)
        value = row.value
        with _invalid_as_protocol_error(row):
            shard_row = ShardRow(
                shard,
                value["owner"],
                value["epoch"],
                value["renewal"],
                tuple(value["guardians"]),
            )
        return StoredShard(shard_row, row.version)

    async def write_shard(self, row: ShardRow, expected_version: int) -> int:
        """Write an ownership row and return its new version."""
        return await self._commit_row(
            SHARDS_PREFIX + row.shard, _serialize_shard(row), expected_version
        )

    async def take_over_shard(self, row: ShardRow, expected_version: int) -> int:
        """Write an ownership row and the shard's epoch row in one transaction.

        Only takeovers write the epoch row, so a transaction that checks it
        fails once the shard has another owner.

        Returns:
            The new version of both rows.
        """
        key, epoch_key = SHARDS_PREFIX + row.shard, EPOCHS_PREFIX + row.shard
        epoch_row = await self._table.read(epoch_key)
        epoch_version = ABSENT if epoch_row is None else epoch_row.version
        transaction = Transaction(
            {key: expected_version, epoch_key: epoch_version},
            {key: _serialize_shard(row), epoch_key: {"epoch": row.epoch}},
        )
        return await self._table.commit_and_resolve(transaction)

    async def read_roster(self, shard: str) -> StoredRoster:
        """Return the workers that may run tasks of a shard."""
        row = await self._table.read(ROSTERS_PREFIX + shard)
        if row is None or row.value is None:
            return StoredRoster(frozenset(), ABSENT)
        with _invalid_as_protocol_error(row):
            return StoredRoster(frozenset(row.value["workers"]), row.version)

    async def write_roster(
        self, shard: str, worker_ids: frozenset[str], expected_version: int
    ) -> int:
        """Write the roster of a shard and return its new version."""
        document = {"workers": sorted(worker_ids)}
        return await self._commit_row(
            ROSTERS_PREFIX + shard, document, expected_version
        )

    async def write_member(self, member: Member) -> bool:
        """Register an entry instance.

        Returns:
            Whether its id was registered before.
        """
        document = attrs.asdict(
            member, filter=lambda field, _: field.name != "row_version"
        )
        key = MEMBERS_PREFIX + member.instance_id
        row = await self._table.read(key)
        version = ABSENT if row is None else row.version
        await self._commit_row(key, document, version)
        return row is not None

    async def delete_member(self, instance_id: str) -> None:
        """Delete the registration of an entry instance."""
        key = MEMBERS_PREFIX + instance_id
        row = await self._table.read(key)
        if row is not None:
            await self._table.commit(Transaction({key: row.version}, {key: None}))

    async def read_members(self) -> tuple[Member, ...]:
        """Return the registered entry instances."""
        page = await self._table.changes(MEMBERS_PREFIX)
        return tuple(_parse_member(row) for row in page.rows if row.value is not None)

    async def read_changed_jobs(self, after: int) -> JobsPage:
        """Return the jobs whose rows changed after a version."""
        page = await self._table.changes(JOBS_PREFIX, after)
        jobs = tuple(
            _parse_stored_job(row) for row in page.rows if row.value is not None
        )
        return JobsPage(page.version, jobs)

    async def read_job(self, job_id: str) -> StoredJob | None:
        """Return one job, or None if it does not exist."""
        row = await self._table.read(JOBS_PREFIX + job_id)
        if row is None or row.value is None:
            return None
        return _parse_stored_job(row)

    async def delete_jobs(self, version_by_id: Mapping[str, int]) -> None:
        """Delete job rows in one transaction.

        Raises:
            CheckFailedError: If a job has changed; nothing was deleted.
            TableError: If the table did not respond.
        """
        checks = {JOBS_PREFIX + job: v for job, v in version_by_id.items()}
        await self._table.commit(Transaction(checks, dict.fromkeys(checks)))

    async def read_changed_grants(self, after: int) -> GrantsPage:
        """Return the grants rows that changed after a version."""
        page = await self._table.changes(GRANTS_PREFIX, after)
        grants = tuple(_parse_grants(row) for row in page.rows if row.value is not None)
        return GrantsPage(page.version, grants)

    async def write_grants(self, grants: Sequence[StoredGrants]) -> int:
        """Write grants rows in one transaction and return their new version.

        Args:
            grants: The new rows, each with the version of the row that it replaces.

        Raises:
            CheckFailedError: If a row has changed; nothing was written.
            TableError: If the table did not respond.
        """
        checks = {GRANTS_PREFIX + g.row.team: g.version for g in grants}
        writes = {GRANTS_PREFIX + g.row.team: _serialize_grants(g) for g in grants}
        return await self._table.commit_and_resolve(Transaction(checks, writes))

    async def commit_records(
        self, jobs: Sequence[WriteJob], requests: Sequence[RequestRecord]
    ) -> int:
        """Write jobs and request ids in one transaction.

        Returns:
            The version of every written row.

        Raises:
            CheckFailedError: If a check failed; nothing was written.
            TableError: If the table did not respond.
        """
        checks: dict[str, int] = {}
        writes: dict[str, RowValue | None] = {}
        for write in jobs:
            key = JOBS_PREFIX + write.job.job_id
            checks[key] = write.expected_version
            if write.fence is not None:
                checks[fence_key(write.fence)] = write.fence.version
            writes[key] = serialize_job(write.job)
        for record in requests:
            checks[record.key] = ABSENT
            writes[record.key] = {"state": "taken"}
        return await self._table.commit_and_resolve(Transaction(checks, writes))

    async def _commit_row(
        self, key: str, document: Mapping[str, object], expected_version: int
    ) -> int:
        transaction = Transaction({key: expected_version}, {key: document})
        return await self._table.commit_and_resolve(transaction)


@contextlib.contextmanager
def _invalid_as_protocol_error(row: Row) -> Iterator[None]:
    """Raise a `ProtocolError` if the content of a row is invalid."""
    try:
        yield
    except (InvalidInputError, KeyError, TypeError, ValueError) as error:
        raise ProtocolError(f"row {row.key} is invalid: {error}") from error


def _parse_member(row: Row) -> Member:
    assert row.value is not None
    with _invalid_as_protocol_error(row):
        return Member(**row.value, row_version=row.version)


def _serialize_shard(row: ShardRow) -> RowValue:
    return {
        "owner": row.owner,
        "epoch": row.epoch,
        "renewal": row.renewal,
        "guardians": list(row.guardians),
    }


def fence_key(fence: ShardFence) -> str:
    """Return the key of the epoch row that a fencing token checks."""
    return EPOCHS_PREFIX + fence.shard


def failed_keys(
    error: CheckFailedError,
    jobs: Sequence[WriteJob],
    requests: Sequence[RequestRecord],
) -> frozenset[str]:
    """Return the keys whose checks failed in a rejected transaction."""
    expected = {
        JOBS_PREFIX + write.job.job_id: write.expected_version for write in jobs
    }
    fences = [write.fence for write in jobs if write.fence is not None]
    expected.update({fence_key(fence): fence.version for fence in fences})
    expected.update({record.key: ABSENT for record in requests})
    return frozenset(
        key
        for key, version in expected.items()
        if error.current_version_by_key.get(key, version) != version
    )


def _serialize_grants(stored: StoredGrants) -> RowValue:
    row = stored.row
    return {
        "limit": serialize_resources(row.limit),
        "amounts": _serialize_amounts(row.amount_by_shard),
        "unconfirmed": _serialize_amounts(row.unconfirmed_by_shard),
        "epochs": dict(row.epoch_by_shard),
        "config_version": stored.config_version,
    }


def _serialize_amounts(amounts: Mapping[str, Resources]) -> RowValue:
    return {name: serialize_resources(amount) for name, amount in amounts.items()}


def _parse_grants(row: Row) -> StoredGrants:
    assert row.value is not None
    value = row.value
    with _invalid_as_protocol_error(row):
        grants = GrantsRow(
            row.key.removeprefix(GRANTS_PREFIX),
            parse_resources(value["limit"]),
            _parse_amounts(value["amounts"]),
            _parse_amounts(value["unconfirmed"]),
            dict(value["epochs"]),
        )
        return StoredGrants(grants, row.version, int(value["config_version"]))


def _parse_amounts(value: Mapping[str, object]) -> dict[str, Resources]:
    return {name: parse_resources(amount) for name, amount in value.items()}


def _parse_stored_job(row: Row) -> StoredJob:
    assert row.value is not None
    with _invalid_as_protocol_error(row):
        return StoredJob(parse_job(dict(row.value)), row.version)
