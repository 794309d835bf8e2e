"""Ownership of one shard by two instances through the table.

Every table operation takes three steps: the request is sent, the table processes it
and the response arrives. Responses may be lost, and a write that timed out may still
be applied at any later time.
"""

from __future__ import annotations

import z3

from formal.bounded import NOW, Expr, Sort, Spec, State, Step, updates
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS, OWNERSHIP_LEASE_MS

OWNER_NUMBER = {"a": 1, "b": 2}
RELEASED = 0
EACH_INSTANCE = tuple((i,) for i in OWNER_NUMBER)
# Progress of an instance's outstanding write.
IDLE, SENT, APPLIED, REJECTED, UNKNOWN = range(5)
# Progress of a read, after IDLE.
ASKED, SERVED = 1, 2
# Kinds of write.
RENEW, TAKE, RELEASE = range(3)

WRITE_PARTS = ("kind", "check", "epoch", "id")
# On the instance's clock, `since` is when it first saw the seen version, `until` is the
# end of its lease and `asked` is when it sent its write.
INTS = (
    *("seen_version", "seen_owner", "seen_epoch", "since", "epoch", "version", "until"),
    *("reading", "read_asked", "read_version", "read_owner", "read_epoch", "read_id"),
    *("write", "asked", *(f"write_{part}" for part in WRITE_PARTS)),
    *(f"late_{part}" for part in WRITE_PARTS),
)
BOOLS = ("late",)

SPEC = Spec(
    "ownership",
    {
        **dict.fromkeys(("row_owner", "row_epoch", "row_version"), Sort.INT),
        # The write id of the row, the next free write id, and the time of the last
        # write, which only the lemmas use.
        **dict.fromkeys(("row_id", "next_id", "row_at"), Sort.INT),
        **{f"{name}_{i}": Sort.INT for name in INTS for i in OWNER_NUMBER},
        **{f"{name}_{i}": Sort.BOOL for name in BOOLS for i in OWNER_NUMBER},
    },
    clocks=("clock_a", "clock_b"),
)
NO_CAS = SPEC.mutation("write without compare-and-set", "one_owner_per_epoch")
COUNT_FROM_RESPONSE = SPEC.mutation("renewal counted from the answer", "one_holder")
COUNT_FROM_REQUEST = SPEC.mutation("candidate counts from its question", "one_holder")
NO_MARGIN = SPEC.mutation("no drift margin", "one_holder")
LOST_AS_SUCCESS = SPEC.mutation("lost answer taken as success", "one_holder")
CLEAR_BEFORE_STOP = SPEC.mutation("row cleared before the holder stops", "one_holder")
TAKE_BEFORE_LAPSE = SPEC.mutation("takeover before the lease lapsed", "one_holder")


@SPEC.initial
def initial(s: State) -> Expr:
    """The shard is released, or instance a holds it and may have sent a renewal.

    Each instance may have read the row or may have sent a read at any earlier time.
    """

    def seen(i: str) -> Expr:
        return z3.And(
            s["seen_version", i] == s["row_version"],
            s["seen_owner", i] == s["row_owner"],
            s["seen_epoch", i] == s["row_epoch"],
            s["since", i] == s["clock", i],
        )

    reads = [
        z3.And(
            z3.Or(s["seen_version", i] == -1, seen(i)),
            z3.Or(s["reading", i] == IDLE, s["reading", i] == ASKED),
            s["read_asked", i] <= s["clock", i],
            z3.Not(s["late", i]),
        )
        for i in OWNER_NUMBER
    ]
    idle = s["write", "a"] == IDLE
    renewing = z3.And(
        s["write", "a"] == SENT,
        s["write_kind", "a"] == RENEW,
        s["write_check", "a"] == s["row_version"],
        s["write_epoch", "a"] == s["row_epoch"],
        s["write_id", "a"] == 1,
        s["asked", "a"] == s["clock", "a"],
    )
    held = z3.And(
        z3.Or(idle, renewing),
        s["row_owner"] == OWNER_NUMBER["a"],
        s["epoch", "a"] == 1,
        s["version", "a"] == 1,
        s["until", "a"] == OWNERSHIP_LEASE_MS,
    )
    free = z3.And(
        idle, s["row_owner"] == RELEASED, s["epoch", "a"] == 0, s["until", "a"] == 0
    )
    return z3.And(
        *reads,
        z3.Or(held, free),
        s["row_epoch"] == 1,
        s["row_version"] == 1,
        s["row_id"] == 0,
        s["next_id"] == 2,
        s["write", "b"] == IDLE,
        s["row_at"] == 0,
        s["epoch", "b"] == 0,
        s["until", "b"] == 0,
    )


def holds(s: State, i: str) -> Expr:
    """Return whether an instance may act as owner of the shard."""
    return z3.And(s["epoch", i] > 0, s["clock", i] < s["until", i])


@SPEC.action(*EACH_INSTANCE)
def read_asked(s: State, _m: str, i: str) -> Step:
    """An instance sends a read of the row."""
    return s["reading", i] == IDLE, updates(
        (("reading", i), ASKED), (("read_asked", i), s["clock", i])
    )


@SPEC.action(*EACH_INSTANCE)
def read_served(s: State, _m: str, i: str) -> Step:
    """The table serves a read; the response is in flight."""
    return s["reading", i] == ASKED, updates(
        (("reading", i), SERVED),
        (("read_version", i), s["row_version"]),
        (("read_owner", i), s["row_owner"]),
        (("read_epoch", i), s["row_epoch"]),
        (("read_id", i), s["row_id"]),
    )


@SPEC.action(*EACH_INSTANCE)
def read_answered(s: State, m: str, i: str) -> Step:
    """The response arrives; it also resolves a write of unknown outcome."""
    changed = s["read_version", i] != s["seen_version", i]
    counted_from = s["read_asked", i] if m == COUNT_FROM_REQUEST else s["clock", i]
    resolves = s["write", i] == UNKNOWN
    own = z3.And(resolves, s["read_id", i] == s["write_id", i])
    is_lease = s["write_kind", i] != RELEASE
    lease_end = s["asked", i] + OWNERSHIP_LEASE_MS
    return s["reading", i] == SERVED, updates(
        (("reading", i), IDLE),
        (("seen_version", i), s["read_version", i]),
        (("seen_owner", i), s["read_owner", i]),
        (("seen_epoch", i), s["read_epoch", i]),
        (("since", i), z3.If(changed, counted_from, s["since", i])),
        (("write", i), z3.If(resolves, IDLE, s["write", i])),
        (
            ("epoch", i),
            z3.If(
                z3.And(own, is_lease),
                s["write_epoch", i],
                z3.If(resolves, 0, s["epoch", i]),
            ),
        ),
        (
            ("until", i),
            z3.If(z3.And(own, is_lease), lease_end, z3.If(resolves, 0, s["until", i])),
        ),
        (("version", i), z3.If(own, s["read_version", i], s["version", i])),
    )


@SPEC.action(*EACH_INSTANCE)
def take_sent(s: State, m: str, i: str) -> Step:
    """A candidate sends a takeover after a release or a lapse of the lease it saw."""
    margin = 0 if m == NO_MARGIN else DRIFT_MARGIN_MS
    lapsed = s["clock", i] >= s["since", i] + OWNERSHIP_LEASE_MS + margin
    if m == TAKE_BEFORE_LAPSE:
        lapsed = z3.BoolVal(True)
    return (
        z3.And(
            s["write", i] == IDLE,
            s["epoch", i] == 0,
            s["seen_version", i] >= 0,
            z3.Or(s["seen_owner", i] == RELEASED, lapsed),
        ),
        _send(s, i, TAKE, s["seen_version", i], s["seen_epoch", i] + 1),
    )


@SPEC.action(*EACH_INSTANCE)
def renew_sent(s: State, _m: str, i: str) -> Step:
    """The holder sends a renewal of its lease."""
    ready = z3.And(s["write", i] == IDLE, s["epoch", i] > 0)
    return ready, _send(s, i, RENEW, s["version", i], s["epoch", i])


@SPEC.action(*EACH_INSTANCE)
def release_sent(s: State, m: str, i: str) -> Step:
    """The holder stops acting as owner and then sends a write that clears the row."""
    ready = z3.And(s["write", i] == IDLE, s["epoch", i] > 0)
    sent = _send(s, i, RELEASE, s["version", i], s["epoch", i])
    if m != CLEAR_BEFORE_STOP:
        sent.update(updates((("epoch", i), 0), (("until", i), 0)))
    return ready, sent


def _send(s: State, i: str, kind: int, check: Expr, epoch: Expr) -> dict[str, Expr]:
    return updates(
        (("write", i), SENT),
        (("write_kind", i), kind),
        (("write_check", i), check),
        (("write_epoch", i), epoch),
        (("write_id", i), s["next_id"]),
        ("next_id", s["next_id"] + 1),
        (("asked", i), s["clock", i]),
    )


@SPEC.action(*EACH_INSTANCE)
def write_applied(s: State, m: str, i: str) -> Step:
    """The table applies or rejects a write."""
    accepted = _accepted(s, m, s["write_check", i])
    changes = _apply(s, i, "write", accepted)
    changes[f"write_{i}"] = z3.If(accepted, APPLIED, REJECTED)
    # The response carries the version of the written row.
    changes[f"write_check_{i}"] = s["row_version"] + 1
    return s["write", i] == SENT, changes


@SPEC.action(*EACH_INSTANCE)
def late_write_applied(s: State, m: str, i: str) -> Step:
    """The table processes a write after its sender timed out."""
    changes = _apply(s, i, "late", _accepted(s, m, s["late_check", i]))
    changes[f"late_{i}"] = z3.BoolVal(False)
    return s["late", i], changes


def _accepted(s: State, m: str, check: Expr) -> Expr:
    return z3.BoolVal(True) if m == NO_CAS else s["row_version"] == check


def _apply(s: State, i: str, slot: str, accepted: Expr) -> dict[str, Expr]:
    released = s[f"{slot}_kind", i] == RELEASE
    owner = z3.If(released, RELEASED, OWNER_NUMBER[i])
    return updates(
        ("row_owner", z3.If(accepted, owner, s["row_owner"])),
        ("row_epoch", z3.If(accepted, s[f"{slot}_epoch", i], s["row_epoch"])),
        ("row_id", z3.If(accepted, s[f"{slot}_id", i], s["row_id"])),
        ("row_version", s["row_version"] + z3.If(accepted, 1, 0)),
        ("row_at", z3.If(accepted, s[NOW], s["row_at"])),
    )


@SPEC.action(*EACH_INSTANCE)
def write_answered(s: State, m: str, i: str) -> Step:
    """The response to a write arrives."""
    accepted = s["write", i] == APPLIED
    leased = z3.And(accepted, s["write_kind", i] != RELEASE)
    counted_from = s["clock", i] if m == COUNT_FROM_RESPONSE else s["asked", i]
    return z3.Or(accepted, s["write", i] == REJECTED), updates(
        (("write", i), IDLE),
        (("epoch", i), z3.If(leased, s["write_epoch", i], 0)),
        (("until", i), z3.If(leased, counted_from + OWNERSHIP_LEASE_MS, 0)),
        (("version", i), s["write_check", i]),
    )


@SPEC.action(*EACH_INSTANCE)
def answer_lost(s: State, m: str, i: str) -> Step:
    """No response arrives; the write may have been applied or may be applied later."""
    waiting = z3.Or(*(s["write", i] == w for w in (SENT, APPLIED, REJECTED)))
    assumed = m == LOST_AS_SUCCESS
    changes = updates(
        (("write", i), IDLE if assumed else UNKNOWN),
        (("late", i), s["write", i] == SENT),
        (("late_kind", i), s["write_kind", i]),
        (("late_check", i), s["write_check", i]),
        (("late_epoch", i), s["write_epoch", i]),
        (("late_id", i), s["write_id", i]),
    )
    if assumed:
        changes.update(
            updates(
                (("epoch", i), s["write_epoch", i]),
                (("until", i), s["asked", i] + OWNERSHIP_LEASE_MS),
            )
        )
    # A read that was served before the loss doesn't show the outcome.
    changes[f"reading_{i}"] = IDLE
    return z3.And(waiting, z3.Not(s["late", i])), changes


@SPEC.invariant
def one_holder(s: State) -> Expr:
    """Two instances never hold the shard at the same time."""
    return z3.Not(z3.And(holds(s, "a"), holds(s, "b")))


@SPEC.invariant
def one_owner_per_epoch(s: State) -> Expr:
    """The two instances are never owners with the same epoch."""
    return z3.Or(s["epoch", "a"] == 0, s["epoch", "a"] != s["epoch", "b"])


@SPEC.goal
def taken_over_after_lapse(s: State) -> Expr:
    """Instance b holds the shard while a still has the epoch of its lapsed lease."""
    return z3.And(holds(s, "b"), s["epoch", "a"] == 1, s["epoch", "b"] == 2)


@SPEC.goal
def renewed(s: State) -> Expr:
    """The first holder holds the shard by a renewal that it sent after 6 s."""
    return z3.And(holds(s, "a"), s["epoch", "a"] == 1, s["until", "a"] > 12_000)
