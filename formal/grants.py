"""Grants of one team's limit to two shards, through takeovers of both.

The row `grants/{team}` holds the amount of each shard. An owner acts on the row
only as it has read it. Tasks that already run outlive their owner.
"""

from __future__ import annotations

import z3

from formal.bounded import Expr, Sort, Spec, State, Step, updates

SHARDS = ("s", "r")
OTHER = {"s": "r", "r": "s"}
EACH = tuple((k,) for k in SHARDS)
LIMIT = 2
# Progress of the transaction that an owner has outstanding.
IDLE, SENT, APPLIED, REJECTED, UNKNOWN = range(5)
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
GIVEN_FIRST = SPEC.mutation("grant given back before use dropped", "usable_in_limit")
USE_IGNORED = SPEC.mutation("grant in use given back", "shard_in_grant")
GIVEN_UNKNOWN = SPEC.mutation(
    "grant given back before reconciliation", "shard_in_grant"
)
TAKEN_BACK = SPEC.mutation("lost give-back taken as not done", "usable_in_limit")
OLD_READ = SPEC.mutation("older grant row adopted", "usable_in_limit")
START_UNKNOWN = SPEC.mutation("start before use is known", "team_limit")


@SPEC.initial
def initial(s: State) -> Expr:
    """Shard s holds the whole limit, and may have asked to give a unit back."""
    parts = [s["version"] == 1, s["used", "s"] >= 0, s["used", "r"] == 0]
    asked = z3.And(
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
    parts += [z3.Or(asked, idle), s["used", "s"] <= s["usable", "s"]]
    parts += [s["write", "r"] == IDLE, z3.Not(s["giving", "r"]), s["usable", "r"] == 0]
    for k, grant in (("s", LIMIT), ("r", 0)):
        parts.append(s["grant", k] == grant)
        parts += [s["known_other", k] == LIMIT - grant, s["known", k] == 1]
        parts += [s["epoch", k] == 1, s["starting", k] == 0]
        parts += [s["reconciled", k]]
        parts += [z3.Not(s[n, k]) for n in ("reading", "late_sent")]
    return z3.And(*parts)


@SPEC.action(*EACH)
def read_served(s: State, _m: str, k: str) -> Step:
    """The table answers a read; the answer is under way."""
    return z3.Not(s["reading", k]), updates(
        (("reading", k), z3.BoolVal(True)),
        (("read_version", k), s["version"]),
        (("read_grant", k), s["grant", k]),
        (("read_other", k), s["grant", OTHER[k]]),
    )


@SPEC.action(*EACH)
def read_answered(s: State, m: str, k: str) -> Step:
    """The owner adopts a newer row unless its own write is outstanding."""
    newer = s["read_version", k] > s["known", k]
    if m == OLD_READ:
        newer = z3.BoolVal(True)
    # A row newer than the check of an unknown write settles that write.
    settled = z3.And(
        s["write", k] == UNKNOWN, s["read_version", k] > s["write_check", k]
    )
    adopted = z3.And(newer, z3.Or(s["write", k] == IDLE, settled))
    return s["reading", k], updates(
        (("reading", k), z3.BoolVal(False)),
        (("write", k), z3.If(settled, IDLE, s["write", k])),
        (("known", k), z3.If(adopted, s["read_version", k], s["known", k])),
        (("known_other", k), z3.If(adopted, s["read_other", k], s["known_other", k])),
        (("usable", k), z3.If(adopted, s["read_grant", k], s["usable", k])),
    )


@SPEC.action(*EACH)
def take_sent(s: State, _m: str, k: str) -> Step:
    """An owner with demand asks for one unit that nobody holds."""
    ready = z3.And(s["write", k] == IDLE, s["known", k] != UNREAD)
    free = s["usable", k] + s["known_other", k] < LIMIT
    return z3.And(ready, free), _send(s, k, s["usable", k] + 1, giving=False)


@SPEC.action(*EACH)
def give_sent(s: State, m: str, k: str) -> Step:
    """An owner stops using one unit and then asks to give it back."""
    in_use = s["used", k] + s["starting", k]
    ready = [s["write", k] == IDLE, s["known", k] != UNREAD, s["usable", k] > 0]
    if m != GIVEN_UNKNOWN:
        ready.append(s["reconciled", k])
    if m == GIVEN_UNKNOWN:
        ready.append(z3.Or(z3.Not(s["reconciled", k]), in_use < s["usable", k]))
    elif m != USE_IGNORED:
        ready.append(in_use < s["usable", k])
    changes = _send(s, k, s["usable", k] - 1, giving=True)
    if m != GIVEN_FIRST:
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


@SPEC.action(*EACH)
def write_applied(s: State, m: str, k: str) -> Step:
    """The table applies a transaction or rejects it."""
    accepted = _accepted(s, m, k, "write")
    changes = _apply(s, k, "write", accepted)
    changes[f"write_{k}"] = z3.If(accepted, APPLIED, REJECTED)
    return s["write", k] == SENT, changes


@SPEC.action(*EACH)
def late_write_applied(s: State, m: str, k: str) -> Step:
    """A transaction of the previous owner reaches the table."""
    changes = _apply(s, k, "late", _accepted(s, m, k, "late"))
    changes[f"late_sent_{k}"] = z3.BoolVal(False)
    return s["late_sent", k], changes


def _accepted(s: State, m: str, k: str, slot: str) -> Expr:
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
        (("grant", OTHER[k]), z3.If(accepted, other, s["grant", OTHER[k]])),
    )


@SPEC.action(*EACH)
def write_answered(s: State, _m: str, k: str) -> Step:
    """The answer arrives; after a rejection the owner waits for a newer row."""
    accepted = s["write", k] == APPLIED
    # The version follows the check, because the check held.
    version = s["write_check", k] + 1
    return z3.Or(accepted, s["write", k] == REJECTED), updates(
        (("write", k), IDLE),
        (("usable", k), z3.If(accepted, s["write_own", k], s["usable", k])),
        (("known", k), z3.If(accepted, version, s["known", k])),
    )


@SPEC.action(*EACH)
def answer_lost(s: State, m: str, k: str) -> Step:
    """The answer is lost; what was given back stays out of use."""
    waiting = z3.Or(s["write", k] == APPLIED, s["write", k] == REJECTED)
    changes = updates((("write", k), UNKNOWN))
    if m == TAKEN_BACK:
        restored = s["usable", k] + z3.If(s["giving", k], 1, 0)
        changes = updates((("write", k), IDLE), (("usable", k), restored))
    return waiting, changes


@SPEC.action(*EACH)
def write_resent(s: State, _m: str, k: str) -> Step:
    """A transaction of unknown outcome is sent again unchanged."""
    return s["write", k] == UNKNOWN, updates((("write", k), SENT))


@SPEC.action(*EACH)
def takeover(s: State, _m: str, k: str) -> Step:
    """A new owner knows nothing; messages of the old one are under way."""
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


@SPEC.action(*EACH)
def reconciled(s: State, _m: str, k: str) -> Step:
    """Each worker is confirmed or lapsed; starts of older epochs are refused."""
    return z3.Not(s["reconciled", k]), updates(
        (("reconciled", k), z3.BoolVal(True)), (("starting", k), 0)
    )


@SPEC.action(*EACH)
def start_sent(s: State, m: str, k: str) -> Step:
    """An owner starts a task within what it may use."""
    room = s["used", k] + s["starting", k] < s["usable", k]
    if m == START_UNKNOWN:
        # The new owner counts from zero.
        room = z3.Or(room, z3.And(z3.Not(s["reconciled", k]), s["usable", k] > 0))
    else:
        room = z3.And(room, s["reconciled", k])
    return room, updates((("starting", k), s["starting", k] + 1))


@SPEC.action(*EACH)
def start_received(s: State, _m: str, k: str) -> Step:
    """A worker starts the task; before reconciliation for an old owner too."""
    return s["starting", k] > 0, updates(
        (("starting", k), s["starting", k] - 1), (("used", k), s["used", k] + 1)
    )


@SPEC.action(*EACH)
def task_ended(s: State, _m: str, k: str) -> Step:
    """A task ends."""
    return s["used", k] > 0, updates((("used", k), s["used", k] - 1))


@SPEC.invariant
def team_limit(s: State) -> Expr:
    """The team never runs more than its limit."""
    return s["used", "s"] + s["used", "r"] <= LIMIT


@SPEC.invariant
def usable_in_limit(s: State) -> Expr:
    """Two owners together never allow more than the limit."""
    return s["usable", "s"] + s["usable", "r"] <= LIMIT


@SPEC.invariant
def shard_in_grant(s: State) -> Expr:
    """No shard runs or is about to run more than its grant in the table."""
    return z3.And(*(s["used", k] + s["starting", k] <= s["grant", k] for k in SHARDS))


@SPEC.goal
def moved_and_used(s: State) -> Expr:
    """A grant moved to the other shard and both shards run a task."""
    return z3.And(s["used", "s"] == 1, s["used", "r"] == 1)


@SPEC.goal
def moved_after_takeover(s: State) -> Expr:
    """A new owner gave part of the grant back."""
    known = z3.And(s["known", "s"] == s["version"], s["usable", "s"] == 1)
    return z3.And(s["epoch", "s"] == 2, s["grant", "s"] == 1, known)
