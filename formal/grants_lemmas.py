"""An inductive invariant of the grants model, for runs of any length."""

from __future__ import annotations

import z3

from formal.bounded import Expr, State
from formal.grants import APPLIED, IDLE, LIMIT, OTHER_SHARD, SENT, SHARDS, SPEC, UNKNOWN


def in_use(s: State, k: str) -> Expr:
    """Return the number of tasks of a shard that run or may still start."""
    return s["used", k] + s["starting", k]


@SPEC.lemma
def grants_in_limit(s: State) -> Expr:
    """The grants are within the limit, and each shard's use is within its grant."""
    parts = [s["version"] >= 1, s["grant", "s"] + s["grant", "r"] <= LIMIT]
    for k in SHARDS:
        parts += [s["used", k] >= 0, s["starting", k] >= 0, s["usable", k] >= 0]
        parts += [s["usable", k] <= s["grant", k], in_use(s, k) <= s["grant", k]]
    return z3.And(*parts)


@SPEC.lemma
def known_row_is_current(s: State) -> Expr:
    """An idle owner that knows the row's version knows its content."""
    parts = []
    for k in SHARDS:
        current = z3.And(s["write", k] == IDLE, s["known", k] == s["version"])
        same = z3.And(
            s["usable", k] == s["grant", k],
            s["known_other", k] == s["grant", OTHER_SHARD[k]],
        )
        parts += [s["known", k] <= s["version"], z3.Implies(current, same)]
    return z3.And(*parts)


@SPEC.lemma
def reads_are_consistent(s: State) -> Expr:
    """A read that an owner may still adopt has the shard's current grant."""
    parts = []
    for k in SHARDS:
        current = s["read_version", k] == s["version"]
        same = z3.And(
            s["read_grant", k] == s["grant", k],
            s["read_other", k] == s["grant", OTHER_SHARD[k]],
        )
        newer = s["read_version", k] > s["known", k]
        adopted = z3.Implies(newer, s["read_grant", k] == s["grant", k])
        valid = z3.And(
            s["read_version", k] <= s["version"], z3.Implies(current, same), adopted
        )
        parts.append(z3.Implies(s["reading", k], valid))
    return z3.And(*parts)


@SPEC.lemma
def writes_keep_the_limit(s: State) -> Expr:
    """A write that can still be applied is within the limit and not below the use."""
    parts = []
    for k in SHARDS:
        parts += [s["write", k] >= IDLE, s["write", k] <= UNKNOWN]
        active = s["write", k] != IDLE
        own = z3.And(
            s["write_epoch", k] == s["epoch", k],
            s["write_check", k] == s["known", k],
            s["write_other", k] == s["known_other", k],
            z3.Implies(s["write", k] != SENT, s["write_check", k] < s["version"]),
        )
        parts.append(z3.Implies(active, own))
        live = z3.And(s["write", k] == SENT, s["write_check", k] == s["version"])
        within_limit = z3.And(
            s["write_other", k] == s["grant", OTHER_SHARD[k]],
            s["write_own", k] + s["write_other", k] <= LIMIT,
            s["write_own", k] >= 0,
            s["usable", k] <= s["write_own", k],
            in_use(s, k) <= s["write_own", k],
        )
        parts.append(z3.Implies(live, within_limit))
        applied = s["write", k] == APPLIED
        newest = s["write_check", k] + 1 == s["version"]
        done = z3.And(
            s["write_check", k] < s["version"],
            s["write_own", k] == s["grant", k],
            z3.Implies(newest, s["write_other", k] == s["grant", OTHER_SHARD[k]]),
        )
        parts.append(z3.Implies(applied, done))
        parts.append(z3.Implies(s["late_sent", k], s["late_epoch", k] < s["epoch", k]))
    return z3.And(*parts)
