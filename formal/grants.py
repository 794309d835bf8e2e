"""Grants of one team's limit to two shards, through takeovers of both.

The row `grants/{team}` holds the amount granted to each shard. An owner knows the
row only from its reads and writes. Running tasks continue after a takeover.
"""

from __future__ import annotations

import z3

from formal.bounded import Expr, Sort, Spec, State, Step, updates

SHARDS = ("s", "r")
OTHER_SHARD = {"s": "r", "r": "s"}
EACH_SHARD = tuple((k,) for k in SHARDS)
LIMIT = 2
# Progress of an owner's outstanding transaction.
IDLE, SENT, APPLIED, REJECTED, UNKNOWN = range(5)
# Known version of the row before the owner's first read.
UNREAD = -1

WRITE_PARTS = ("check", "epoch", "own", "other")
INTS = (
    *("grant", "epoch", "usable", "used", "starting", "known", "known_other"),
    *("read_version", "read_grant", "read_other", "write", "late"),
    *(f"{slot}_{part}" for slot in ("write", "late") for part in WRITE_PARTS),
)
BOOLS = ("reading", "reconciled", "late_sent", "giving")

SPEC = Spec(
    "grants",
    {
        "version": Sort.INT,
        **{f"{name}_{k}": Sort.INT for name in INTS for k in SHARDS},
        **{f"{name}_{k}": Sort.BOOL for name in BOOLS for k in SHARDS},
    },
    clocks=(),
)
NO_CAS = SPEC.mutation("grant written without compare-and-set", "usable_in_limit")
NO_EPOCH = SPEC.mutation("grant written without an epoch check", "usable_in_limit")
GIVE_BEFORE_DROP = SPEC.mutation(
    "grant given back before use dropped", "usable_in_limit"
)
GIVE_IN_USE = SPEC.mutation("grant in use given back", "shard_in_grant")
GIVE_UNRECONCILED = SPEC.mutation(
    "grant given back before reconciliation", "shard_in_grant"
)
LOST_AS_FAILED = SPEC.mutation("lost give-back taken as not done", "usable_in_limit")
ADOPT_OLDER = SPEC.mutation("older grant row adopted", "usable_in_limit")
START_UNRECONCILED = SPEC.mutation("start before use is known", "team_limit")


@SPEC.initial
def initial(s: State) -> Expr:
    """Shard s holds the whole limit and may have sent the return of one unit."""
    parts = [s["version"] == 1, s["used", "s"] >= 0, s["used", "r"] == 0]
    returning = z3.And(
        s["write", "s"] == SENT,
        s["giving", "s"],
        s["usable", "s"] == LIMIT - 1,
        s["write_own", "s"] == LIMIT - 1,
        s["write_other", "s"] == 0,
        s["write_check", "s"] == 1,
        s["write_epoch", "s"] == 1,
    )
    idle = z3.And(
        s["write", "s"] == IDLE, z3.Not(s["giving", "s"]), s["usable", "s"] == LIMIT
    )
    parts += [z3.Or(returning, idle), s["used", "s"] <= s["usable", "s"]]
    parts += [s["write", "r"] == IDLE, z3.Not(s["giving", "r"]), s["usable", "r"] == 0]
    for k, grant in (("s", LIMIT), ("r", 0)):
        parts.append(s["grant", k] == grant)
        parts += [s["known_other", k] == LIMIT - grant, s["known", k] == 1]
        parts += [s["epoch", k] == 1, s["starting", k] == 0]
        parts += [s["reconciled", k]]
        parts += [z3.Not(s[n, k]) for n in ("reading", "late_sent")]
    return z3.And(*parts)


@SPEC.action(*EACH_SHARD)
def read_served(s: State, _m: str, k: str) -> Step:
    """The table serves a read; the response is in flight."""
    return z3.Not(s["reading", k]), updates(
        (("reading", k), z3.BoolVal(True)),
        (("read_version", k), s["version"]),
        (("read_grant", k), s["grant", k]),
        (("read_other", k), s["grant", OTHER_SHARD[k]]),
    )


@SPEC.action(*EACH_SHARD)
def read_answered(s: State, m: str, k: str) -> Step:
    """The owner adopts a newer row unless its own write is unresolved."""
    newer = s["read_version", k] > s["known", k]
    if m == ADOPT_OLDER:
        newer = z3.BoolVal(True)
    # A row newer than the version that a write of unknown outcome checks resolves
    # that write.
    resolved = z3.And(
        s["write", k] == UNKNOWN, s["read_version", k] > s["write_check", k]
    )
    adopted = z3.And(newer, z3.Or(s["write", k] == IDLE, resolved))
    return s["reading", k], updates(
        (("reading", k), z3.BoolVal(False)),
        (("write", k), z3.If(resolved, IDLE, s["write", k])),
        (("known", k), z3.If(adopted, s["read_version", k], s["known", k])),
        (("known_other", k), z3.If(adopted, s["read_other", k], s["known_other", k])),
        (("usable", k), z3.If(adopted, s["read_grant", k], s["usable", k])),
    )


@SPEC.action(*EACH_SHARD)
def take_sent(s: State, _m: str, k: str) -> Step:
    """An owner with demand requests one unit that no shard holds."""
    ready = z3.And(s["write", k] == IDLE, s["known", k] != UNREAD)
    free = s["usable", k] + s["known_other", k] < LIMIT
    return z3.And(ready, free), _send(s, k, s["usable", k] + 1, giving=False)


@SPEC.action(*EACH_SHARD)
def give_sent(s: State, m: str, k: str) -> Step:
    """An owner stops using one unit and then sends its return."""
    in_use = s["used", k] + s["starting", k]
    ready = [s["write", k] == IDLE, s["known", k] != UNREAD, s["usable", k] > 0]
    if m != GIVE_UNRECONCILED:
        ready.append(s["reconciled", k])
    if m == GIVE_UNRECONCILED:
        ready.append(z3.Or(z3.Not(s["reconciled", k]), in_use < s["usable", k]))
    elif m != GIVE_IN_USE:
        ready.append(in_use < s["usable", k])
    changes = _send(s, k, s["usable", k] - 1, giving=True)
    if m != GIVE_BEFORE_DROP:
        changes[f"usable_{k}"] = s["usable", k] - 1
    return z3.And(*ready), changes


def _send(s: State, k: str, own: Expr, *, giving: bool) -> dict[str, Expr]:
    return updates(
        (("write", k), SENT),
        (("write_check", k), s["known", k]),
        (("write_epoch", k), s["epoch", k]),
        (("write_own", k), own),
        (("write_other", k), s["known_other", k]),
        (("giving", k), z3.BoolVal(giving)),
    )


@SPEC.action(*EACH_SHARD)
def write_applied(s: State, m: str, k: str) -> Step:
    """The table applies or rejects a transaction."""
    accepted = _accepted(s, m, k, "write")
    changes = _apply(s, k, "write", accepted)
    changes[f"write_{k}"] = z3.If(accepted, APPLIED, REJECTED)
    return s["write", k] == SENT, changes


@SPEC.action(*EACH_SHARD)
def late_write_applied(s: State, m: str, k: str) -> Step:
    """The table processes a delayed transaction of the previous owner."""
    changes = _apply(s, k, "late", _accepted(s, m, k, "late"))
    changes[f"late_sent_{k}"] = z3.BoolVal(False)
    return s["late_sent", k], changes


def _accepted(s: State, m: str, k: str, slot: str) -> Expr:
    """Return whether the table accepts the "write" or the "late" write of a shard."""
    checks = []
    if m != NO_CAS:
        checks.append(s["version"] == s[f"{slot}_check", k])
    if m != NO_EPOCH:
        checks.append(s["epoch", k] == s[f"{slot}_epoch", k])
    return z3.And(*checks)


def _apply(s: State, k: str, slot: str, accepted: Expr) -> dict[str, Expr]:
    own, other = s[f"{slot}_own", k], s[f"{slot}_other", k]
    return updates(
        ("version", s["version"] + z3.If(accepted, 1, 0)),
        (("grant", k), z3.If(accepted, own, s["grant", k])),
        (("grant", OTHER_SHARD[k]), z3.If(accepted, other, s["grant", OTHER_SHARD[k]])),
    )


@SPEC.action(*EACH_SHARD)
def write_answered(s: State, _m: str, k: str) -> Step:
    """The response arrives; after a rejection the owner waits for a newer row."""
    accepted = s["write", k] == APPLIED
    # The check passed, so the written version is the checked one plus 1.
    version = s["write_check", k] + 1
    return z3.Or(accepted, s["write", k] == REJECTED), updates(
        (("write", k), IDLE),
        (("usable", k), z3.If(accepted, s["write_own", k], s["usable", k])),
        (("known", k), z3.If(accepted, version, s["known", k])),
    )


@SPEC.action(*EACH_SHARD)
def answer_lost(s: State, m: str, k: str) -> Step:
    """The response is lost; a returned unit stays unused."""
    waiting = z3.Or(s["write", k] == APPLIED, s["write", k] == REJECTED)
    changes = updates((("write", k), UNKNOWN))
    if m == LOST_AS_FAILED:
        restored = s["usable", k] + z3.If(s["giving", k], 1, 0)
        changes = updates((("write", k), IDLE), (("usable", k), restored))
    return waiting, changes


@SPEC.action(*EACH_SHARD)
def write_resent(s: State, _m: str, k: str) -> Step:
    """The owner resends a transaction of unknown outcome unchanged."""
    return s["write", k] == UNKNOWN, updates((("write", k), SENT))


@SPEC.action(*EACH_SHARD)
def takeover(s: State, _m: str, k: str) -> Step:
    """A new owner starts without state; the old owner's write may be in flight."""
    changes = updates(
        (("epoch", k), s["epoch", k] + 1),
        (("usable", k), 0),
        (("known", k), UNREAD),
        (("reading", k), z3.BoolVal(False)),
        (("reconciled", k), z3.BoolVal(False)),
        (("write", k), IDLE),
        (("late_sent", k), s["write", k] == SENT),
    )
    for part in WRITE_PARTS:
        changes[f"late_{part}_{k}"] = s[f"write_{part}", k]
    return z3.Not(s["late_sent", k]), changes


@SPEC.action(*EACH_SHARD)
def reconciled(s: State, _m: str, k: str) -> Step:
    """Every worker is confirmed or lapsed, so starts of older epochs are refused."""
    return z3.Not(s["reconciled", k]), updates(
        (("reconciled", k), z3.BoolVal(True)), (("starting", k), 0)
    )


@SPEC.action(*EACH_SHARD)
def start_sent(s: State, m: str, k: str) -> Step:
    """An owner sends a start if the usable grant has free capacity."""
    has_capacity = s["used", k] + s["starting", k] < s["usable", k]
    if m == START_UNRECONCILED:
        # The new owner assumes that nothing is in use.
        has_capacity = z3.Or(
            has_capacity, z3.And(z3.Not(s["reconciled", k]), s["usable", k] > 0)
        )
    else:
        has_capacity = z3.And(has_capacity, s["reconciled", k])
    return has_capacity, updates((("starting", k), s["starting", k] + 1))


@SPEC.action(*EACH_SHARD)
def start_received(s: State, _m: str, k: str) -> Step:
    """A worker starts the task; until reconciliation also for the old owner."""
    return s["starting", k] > 0, updates(
        (("starting", k), s["starting", k] - 1), (("used", k), s["used", k] + 1)
    )


@SPEC.action(*EACH_SHARD)
def task_ended(s: State, _m: str, k: str) -> Step:
    """A running task ends."""
    return s["used", k] > 0, updates((("used", k), s["used", k] - 1))


@SPEC.invariant
def team_limit(s: State) -> Expr:
    """The team never runs more tasks than its limit."""
    return s["used", "s"] + s["used", "r"] <= LIMIT


@SPEC.invariant
def usable_in_limit(s: State) -> Expr:
    """The owners of both shards together never allow more than the limit."""
    return s["usable", "s"] + s["usable", "r"] <= LIMIT


@SPEC.invariant
def shard_in_grant(s: State) -> Expr:
    """The running and starting tasks of a shard are within its stored grant."""
    return z3.And(*(s["used", k] + s["starting", k] <= s["grant", k] for k in SHARDS))


@SPEC.goal
def moved_and_used(s: State) -> Expr:
    """One unit moved to the other shard and both shards run a task."""
    return z3.And(s["used", "s"] == 1, s["used", "r"] == 1)


@SPEC.goal
def moved_after_takeover(s: State) -> Expr:
    """A new owner returned part of the grant."""
    known = z3.And(s["known", "s"] == s["version"], s["usable", "s"] == 1)
    return z3.And(s["epoch", "s"] == 2, s["grant", "s"] == 1, known)
