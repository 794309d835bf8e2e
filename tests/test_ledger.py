import pytest

from marjoramgrade.decisions.ledger import (
    KEPT_MINUTES,
    MINUTE_MS,
    LedgerRow,
    RequestLedger,
)
from marjoramgrade.errors import DuplicateRequestError, LedgerUnavailableError, Ran


def test_a_recorded_request_does_not_run_again() -> None:
    """Guards against a non-idempotent request that runs twice (invariant 8)."""
    ledger = RequestLedger(is_complete=True)
    assert ledger.record("r1", 5 * MINUTE_MS) == LedgerRow(5, ("r1",))
    assert ledger.record("r2", 6 * MINUTE_MS - 1) == LedgerRow(5, ("r1", "r2"))
    with pytest.raises(DuplicateRequestError) as caught:
        ledger.record("r1", 9 * MINUTE_MS)
    assert caught.value.ran is Ran.UNKNOWN


def test_a_new_owner_records_nothing_before_it_has_read_every_row() -> None:
    """Guards against a copy that reaches the new owner of the shard."""
    ledger = RequestLedger()
    with pytest.raises(LedgerUnavailableError):
        ledger.record("r1", 0)
    ledger.merge([LedgerRow(1, ("r1",)), LedgerRow(2, ("r2", "r1"))])
    assert ledger.seen("r1") and ledger.seen("r2") and len(ledger) == 2
    ledger.merge([LedgerRow(1, ("r1",))])
    assert ledger.expire((2 + KEPT_MINUTES) * MINUTE_MS) == (1,)
    assert ledger.seen("r1"), "its later record is still kept"


def test_old_ids_leave_the_ledger() -> None:
    """Guards against a ledger that grows without bound."""
    ledger = RequestLedger(is_complete=True)
    for minute in range(3 * KEPT_MINUTES):
        for n in range(5):
            ledger.record(f"r{minute}.{n}", minute * MINUTE_MS)
        ledger.expire(minute * MINUTE_MS)
        assert len(ledger) <= 5 * (KEPT_MINUTES + 1)
    assert ledger.seen(f"r{2 * KEPT_MINUTES}.0")
    assert not ledger.seen("r0.0")


def test_only_a_record_that_was_not_written_is_withdrawn() -> None:
    """Guards against a caller that cannot repeat a request which never ran."""
    ledger = RequestLedger(is_complete=True)
    ledger.record("r1", 0)
    ledger.withdraw("r1")
    ledger.withdraw("r9")
    assert ledger.record("r2", 0) == LedgerRow(0, ("r2",))
    assert ledger.record("r1", 0) == LedgerRow(0, ("r2", "r1"))
