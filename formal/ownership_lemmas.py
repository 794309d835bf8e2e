"""An inductive invariant of the ownership model, for runs of any length.

A claim is a lease that an instance knows or may still learn of from a response. A
claim with the row's epoch and owner ends at most one lease plus one skew after the
row was written; every other claim has lapsed.
"""

from __future__ import annotations

from collections.abc import Iterator

import z3

from formal.bounded import NOW, SKEW_MS, Expr, State
from formal.ownership import (
    APPLIED,
    IDLE,
    OWNER_NUMBER,
    REJECTED,
    RELEASE,
    RELEASED,
    RENEW,
    SENT,
    SERVED,
    SPEC,
    TAKE,
    UNKNOWN,
)
from marjoramgrade.decisions.ownership import OWNERSHIP_LEASE_MS

OTHER_INSTANCE = {"a": "b", "b": "a"}


def iter_claims(s: State, i: str) -> Iterator[tuple[Expr, Expr, Expr]]:
    """Yield condition, epoch and end of each claim of an instance."""
    yield s["epoch", i] > 0, s["epoch", i], s["until", i]
    end = s["asked", i] + OWNERSHIP_LEASE_MS
    leased = s["write_kind", i] != RELEASE
    applied = z3.And(s["write", i] == APPLIED, leased)
    yield applied, s["write_epoch", i], end
    in_row = s["row_id"] == s["write_id", i]
    in_read = z3.And(s["reading", i] == SERVED, s["read_id", i] == s["write_id", i])
    unknown = z3.And(s["write", i] == UNKNOWN, leased, z3.Or(in_row, in_read))
    yield unknown, s["write_epoch", i], end


def iter_writes(s: State, i: str) -> Iterator[tuple[str, Expr]]:
    """Yield the slot and presence of each write that may still be applied."""
    yield "write", s["write", i] == SENT
    yield "late", s["late", i]


@SPEC.lemma
def values_in_range(s: State) -> Expr:
    """The row, the reads and the writes have values in their ranges."""
    parts = [s["row_epoch"] >= 1, s["row_version"] >= 1, s["row_at"] <= s[NOW]]
    parts += [s["row_owner"] >= RELEASED, s["row_owner"] <= 2, s["row_id"] >= 0]
    parts += [s["row_id"] < s["next_id"]]
    for i in OWNER_NUMBER:
        parts += [s["epoch", i] >= 0, s["seen_version", i] <= s["row_version"]]
        parts += [s["write", i] >= IDLE, s["write", i] <= UNKNOWN]
        for slot in ("write", "late"):
            present = s["late", i] if slot == "late" else s["write", i] != IDLE
            kind = s[f"{slot}_kind", i]
            known = z3.Or(kind == RENEW, kind == TAKE, kind == RELEASE)
            parts.append(z3.Implies(present, known))
    return z3.And(*parts)


@SPEC.lemma
def reads_match_the_row(s: State) -> Expr:
    """A read of the row's current version matches the row."""
    parts = []
    for i in OWNER_NUMBER:
        for name, present in (
            ("seen", s["seen_version", i] >= 0),
            ("read", s["reading", i] == SERVED),
        ):
            same = z3.And(
                s[f"{name}_owner", i] == s["row_owner"],
                s[f"{name}_epoch", i] == s["row_epoch"],
            )
            current = s[f"{name}_version", i] == s["row_version"]
            known = z3.And(
                s[f"{name}_version", i] >= 1,
                s[f"{name}_version", i] <= s["row_version"],
                z3.Implies(current, same),
            )
            parts.append(z3.Implies(present, known))
        current = s["seen_version", i] == s["row_version"]
        parts.append(z3.Implies(current, s["since", i] >= s["row_at"]))
        served = s["reading", i] == SERVED
        parts.append(z3.Implies(served, s["read_id", i] < s["next_id"]))
    return z3.And(*parts)


@SPEC.lemma
def ids_are_unique(s: State) -> Expr:
    """The id of a write that was not applied is neither in the row nor in a read."""
    parts = []
    for i in OWNER_NUMBER:
        for slot, present in iter_writes(s, i):
            own = s[f"{slot}_id", i]
            fresh = z3.And(own >= 1, own < s["next_id"])
            parts.append(z3.Implies(present, fresh))
        active = s["write", i] != IDLE
        known = z3.And(s["write_id", i] >= 1, s["write_id", i] < s["next_id"])
        parts.append(z3.Implies(active, known))
        sent = z3.Or(s["write", i] == SENT, s["write", i] == REJECTED)
        served = s["reading", i] == SERVED
        parts.append(z3.Implies(sent, s["row_id"] != s["write_id", i]))
        unread = s["read_id", i] != s["write_id", i]
        parts.append(z3.Implies(z3.And(sent, served), unread))
        both = z3.And(s["late", i], z3.Or(sent, s["write", i] == APPLIED))
        parts.append(z3.Implies(both, s["late_id", i] != s["write_id", i]))
        # A write of unknown outcome that is in flight is not in the row yet.
        same = z3.And(
            s["late", i],
            s["write", i] == UNKNOWN,
            s["late_id", i] == s["write_id", i],
        )
        matching = z3.And(
            s["late_epoch", i] == s["write_epoch", i],
            s["late_kind", i] == s["write_kind", i],
            s["row_id"] != s["write_id", i],
            z3.Implies(served, unread),
        )
        parts.append(z3.Implies(same, matching))
        other = OTHER_INSTANCE[i]
        for slot, present in iter_writes(s, other):
            pair = z3.And(active, present)
            distinct = s["write_id", i] != s[f"{slot}_id", other]
            parts.append(z3.Implies(pair, distinct))
        asked = s["asked", i] <= s["clock", i]
        parts.append(z3.Implies(active, asked))
    return z3.And(*parts)


@SPEC.lemma
def live_writes_are_justified(s: State) -> Expr:
    """A write whose check still passes is permitted by the current row."""
    parts = []
    lapsed = s[NOW] >= s["row_at"] + OWNERSHIP_LEASE_MS + SKEW_MS
    for i, number in OWNER_NUMBER.items():
        for slot, present in iter_writes(s, i):
            kind, check = s[f"{slot}_kind", i], s[f"{slot}_check", i]
            own = z3.And(
                s["row_owner"] == number, s[f"{slot}_epoch", i] == s["row_epoch"]
            )
            next_epoch = s[f"{slot}_epoch", i] == s["row_epoch"] + 1
            free = z3.Or(s["row_owner"] == RELEASED, lapsed)
            claims = [z3.Not(condition) for condition, _, _ in iter_claims(s, i)]
            live = z3.And(
                z3.Implies(kind == RENEW, own),
                z3.Implies(kind == RELEASE, z3.And(own, *claims)),
                z3.Implies(kind == TAKE, z3.And(next_epoch, free)),
            )
            parts.append(z3.Implies(present, check <= s["row_version"]))
            parts.append(z3.Implies(z3.And(present, check == s["row_version"]), live))
    return z3.And(*parts)


@SPEC.lemma
def held_version_is_own(s: State) -> Expr:
    """While the row has the version that a holder knows, the row names the holder."""
    parts = []
    for i, number in OWNER_NUMBER.items():
        own = z3.And(s["row_owner"] == number, s["row_epoch"] == s["epoch", i])
        current = s["version", i] == s["row_version"]
        held = s["epoch", i] > 0
        parts.append(z3.Implies(held, s["version", i] <= s["row_version"]))
        parts.append(z3.Implies(z3.And(held, current), own))
        # The same holds for an applied write and the version that it wrote.
        applied = z3.And(s["write", i] == APPLIED, s["write_kind", i] != RELEASE)
        wrote = s["write_check", i] == s["row_version"]
        row = z3.And(s["row_owner"] == number, s["row_epoch"] == s["write_epoch", i])
        parts.append(z3.Implies(applied, s["write_check", i] <= s["row_version"]))
        parts.append(z3.Implies(z3.And(applied, wrote), row))
        # The same holds for a write of unknown outcome whose id is in the row or was
        # read.
        unknown = z3.And(s["write", i] == UNKNOWN, s["write_kind", i] != RELEASE)
        in_row = s["row_id"] == s["write_id", i]
        parts.append(z3.Implies(z3.And(z3.Or(applied, unknown), in_row), row))
        in_read = z3.And(
            s["reading", i] == SERVED,
            s["read_id", i] == s["write_id", i],
            s["read_version", i] == s["row_version"],
        )
        parts.append(z3.Implies(z3.And(unknown, in_read), row))
    return z3.And(*parts)


@SPEC.lemma
def claims_end_in_time(s: State) -> Expr:
    """A claim of the row's owner ends in time; every other claim has lapsed."""
    parts = []
    for i, number in OWNER_NUMBER.items():
        for condition, epoch, end in iter_claims(s, i):
            current = z3.And(epoch == s["row_epoch"], s["row_owner"] == number)
            in_time = end <= s["row_at"] + SKEW_MS + OWNERSHIP_LEASE_MS
            bounded = z3.If(current, in_time, s[NOW] >= end)
            valid = z3.And(epoch >= 1, epoch <= s["row_epoch"], bounded)
            parts.append(z3.Implies(condition, valid))
    return z3.And(*parts)


@SPEC.lemma
def claims_have_distinct_epochs(s: State) -> Expr:
    """Two instances never have claims with the same epoch."""
    parts = []
    for condition, epoch, _ in iter_claims(s, "a"):
        for other_condition, other_epoch, _ in iter_claims(s, "b"):
            both = z3.And(condition, other_condition)
            parts.append(z3.Implies(both, epoch != other_epoch))
    for i, number in OWNER_NUMBER.items():
        for condition, epoch, _ in iter_claims(s, OTHER_INSTANCE[i]):
            owned = z3.And(condition, s["row_owner"] == number)
            parts.append(z3.Implies(owned, epoch < s["row_epoch"]))
    return z3.And(*parts)
