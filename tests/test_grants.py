import pytest

from marjoramgrade.decisions.grants import (
    UNLIMITED,
    GrantsRow,
    allocate,
    claim,
    confirm,
    initial_row,
    return_unused,
    with_limit,
)
from marjoramgrade.errors import NotOwnerError
from marjoramgrade.resources import ZERO_RESOURCES, Resources


def cpus(amount: int) -> Resources:
    return Resources(cpu_millis=amount)


def row_of(limit: int, **amounts: int) -> GrantsRow:
    return GrantsRow(
        "t", cpus(limit), {shard: cpus(part) for shard, part in amounts.items()}
    )


def test_a_shard_takes_no_more_than_is_unallocated() -> None:
    """Guards against grants whose sum exceeds the limit (invariant 4)."""
    row = allocate(row_of(10, x=3, y=4), "x", 1, Resources(9, memory_mib=9))
    assert row.amount("x") == cpus(6)
    assert row.unallocated == ZERO_RESOURCES
    assert return_unused(row, "x", 1, cpus(99)).unallocated == cpus(6)


def test_the_first_split_leaves_a_part_to_take() -> None:
    """Guards against a limit that is wholly granted to shards that do not need it."""
    row = initial_row("t", cpus(10), ["y", "x"])
    assert row.amount_by_shard == {"x": cpus(2), "y": cpus(2)}
    assert row.unallocated == cpus(6)
    assert initial_row("t", cpus(10), []).unallocated == cpus(10)


def test_a_lowered_limit_frees_nothing_until_each_holder_confirms() -> None:
    """Guards against a partitioned holder that still uses its old grant."""
    row = with_limit(row_of(20, x=10, y=10), cpus(10))
    assert row.amount_by_shard == {"x": cpus(5), "y": cpus(5)}
    row = with_limit(row, cpus(24))
    assert row.unallocated == cpus(4)
    row = confirm(row, "x", 1)
    assert row.unallocated == cpus(9)
    assert confirm(row, "y", 1).unallocated == cpus(14)


def test_a_new_limit_on_an_unlimited_resource_waits_for_every_holder() -> None:
    """Guards against a first limit that a shard has not read yet."""
    row = with_limit(row_of(0, x=0, y=0), cpus(8))
    assert row.amount_by_shard == {"x": cpus(4), "y": cpus(4)}
    assert row.held("y") == cpus(UNLIMITED)
    row = confirm(return_unused(row, "x", 1, cpus(4)), "x", 1)
    assert row.unallocated == ZERO_RESOURCES
    assert confirm(row, "y", 1).unallocated == cpus(4)
    assert with_limit(row, ZERO_RESOURCES).unconfirmed_by_shard == {}


def test_an_earlier_owner_of_a_shard_changes_nothing() -> None:
    """Guards against two owners of a shard that use the same grant."""
    row = claim(row_of(10, x=5), "x", 3)
    for change in (
        lambda: allocate(row, "x", 2, cpus(1)),
        lambda: return_unused(row, "x", 2, cpus(1)),
        lambda: confirm(row, "x", 2),
        lambda: claim(row, "x", 2),
    ):
        with pytest.raises(NotOwnerError):
            change()
    assert claim(row, "z", 1).amount("z") == ZERO_RESOURCES
