import asyncio

import pytest

from marjoramgrade.errors import CheckFailedError, WriteOutcomeUnknownError
from marjoramgrade.table import ABSENT, MemoryTable, Transaction


class ResponseLosingTable(MemoryTable):
    """Loses the responses to its first commits after applying them."""

    def __init__(self, losses: int) -> None:
        super().__init__()
        self.losses = losses

    async def commit(self, transaction: Transaction) -> int:
        version = await super().commit(transaction)
        if self.losses:
            self.losses -= 1
            raise WriteOutcomeUnknownError("response lost")
        return version


def test_a_failed_check_writes_nothing() -> None:
    """Guards against half-applied transactions."""
    table = MemoryTable()
    table.apply(Transaction({"a": ABSENT}, {"a": {"n": 1}}))
    with pytest.raises(CheckFailedError) as caught:
        table.apply(Transaction({"a": ABSENT}, {"a": {"n": 2}, "b": {"n": 2}}))
    assert caught.value.current_version_by_key == {"a": 1}
    assert [row.key for row in table.scan("").rows] == ["a"]


def test_a_lost_answer_is_resolved_by_the_write_id() -> None:
    """Guards against a write that took effect and is reported as failed."""
    table = ResponseLosingTable(losses=1)
    write = Transaction({"a": ABSENT}, {"a": {"n": 1}})
    assert asyncio.run(table.commit_and_resolve(write)) == 1
    assert table.scan("a").version == 1


def test_a_racing_write_is_not_mistaken_for_the_callers_write() -> None:
    """Guards against a conflict that is reported as success."""
    table = ResponseLosingTable(losses=0)
    table.apply(Transaction({"a": ABSENT}, {"a": {"n": 1}}))
    with pytest.raises(CheckFailedError):
        asyncio.run(
            table.commit_and_resolve(Transaction({"a": ABSENT}, {"a": {"n": 2}}))
        )


def test_the_change_feed_shows_deletions_after_a_version() -> None:
    """Guards against watchers that miss a deletion."""
    table = MemoryTable()
    table.apply(Transaction({}, {"a": {"n": 1}, "b": {"n": 1}}))
    table.apply(Transaction({"a": 1}, {"a": None}))
    page = table.scan("", after=1)
    assert [(row.key, row.value) for row in page.rows] == [("a", None)]
    assert [row.key for row in table.scan("").rows] == ["b"]
