"""Non-idempotent requests to a backend server, and the acceptance of a job.

Two copies of a request, or two requests, pass through the owners of two shards.
The ledger row is read, then written with a check, and only then does the request
leave. The backend server has one slot for shard s; each step may be delayed.
"""

from __future__ import annotations

import z3

from formal.bounded import Expr, Sort, Spec, State, Step, updates

COPIES = ("c", "d")
OTHER = {"c": "d", "d": "c"}
EACH = tuple((c,) for c in COPIES)
# Progress of one copy. LISTED: the ledger was read and does not hold the id.
NEW, LISTED, WRITING, WRITTEN, REFUSED, RECORDED, SENT, RAN, NOT_RUN, OVER = range(10)
# What the caller was told; DUPLICATE says "this copy did not run".
NOTHING, TOLD_RAN, TOLD_NOT_RUN, TOLD_UNKNOWN, TOLD_DUPLICATE = range(5)
INTS = ("stage", "epoch", "message_epoch", "told", "runs", "attempts")
BOOLS = ("message", "recorded", "given_up")

SPEC = Spec(
    "requests",
    {
        "same_id": Sort.BOOL,
        "same_shard": Sort.BOOL,
        # The shard's epoch, the server's fence, slots in use and the owner's count.
        **dict.fromkeys(("shard_epoch", "fence", "in_use", "count"), Sort.INT),
        "counted": Sort.BOOL,
        **{f"{name}_{c}": Sort.INT for name in INTS for c in COPIES},
        **{f"{name}_{c}": Sort.BOOL for name in BOOLS for c in COPIES},
    },
    clocks=(),
)
RESEND = SPEC.mutation("resend after an unknown outcome", "runs_once")
NO_LEDGER = SPEC.mutation("request sent before its ledger record", "runs_once")
NO_CAS = SPEC.mutation("ledger written without compare-and-set", "runs_once")
BY_SHARD = SPEC.mutation("ledger kept by dispatching shard", "runs_once")
UNKNOWN_IS_NO = SPEC.mutation("unknown outcome told as not run", "not_run_is_true")
SENT_AFTER_NO = SPEC.mutation("request sent after not run was told", "not_run_is_true")
NO_EPOCH = SPEC.mutation("no epoch check at the backend server", "no_overcommit")
NO_FENCE = SPEC.mutation("slots counted without the fence", "no_overcommit")


@SPEC.initial
def initial(s: State) -> Expr:
    """An owner in force, a free server, and two copies or two requests."""
    parts = [s["shard_epoch"] == 1, s["fence"] == 1, s["in_use"] == 0]
    parts.append(s["counted"])
    for c in COPIES:
        parts += [s["told", c] == NOTHING, s["runs", c] == 0]
        parts.append(z3.Not(s["given_up", c]))
    # Copy c may have its ledger record and may be under way, or both copies may
    # have found the ledger without the id, which shortens the runs.
    sent = s["stage", "c"] == SENT
    recorded = z3.And(z3.Or(s["stage", "c"] == RECORDED, sent), s["epoch", "c"] == 1)
    parts += [s["message", "c"] == sent, s["message_epoch", "c"] == 1]
    parts += [s["attempts", "c"] == z3.If(sent, 1, 0), s["attempts", "d"] == 0]
    parts += [s["count"] == z3.If(sent, 1, 0), z3.Not(s["message", "d"])]
    both = [z3.And(s["stage", c] == LISTED, s["epoch", c] == 1) for c in COPIES]
    new = s["stage", "d"] == NEW
    parts.append(
        z3.Or(z3.And(new, z3.Or(s["stage", "c"] == NEW, recorded)), z3.And(*both))
    )
    parts.append(s["recorded", "c"] == recorded)
    parts.append(z3.Not(s["recorded", "d"]))
    return z3.And(*parts)


def _has_authority(s: State, c: str) -> Expr:
    return s["epoch", c] == s["shard_epoch"]


def _is_listed(s: State, m: str, c: str) -> Expr:
    """Return whether the ledger that this copy's owner uses holds its id."""
    other = z3.And(s["same_id"], s["recorded", OTHER[c]])
    if m == BY_SHARD:
        other = z3.And(other, s["same_shard"])
    return z3.Or(s["recorded", c], other)


@SPEC.action(*EACH)
def ledger_read(s: State, m: str, c: str) -> Step:
    """The owner looks the id up and refuses a known one as a duplicate."""
    known = _is_listed(s, m, c)
    return s["stage", c] == NEW, updates(
        (("stage", c), z3.If(known, OVER, LISTED)),
        (("told", c), z3.If(known, TOLD_DUPLICATE, NOTHING)),
        (("epoch", c), s["shard_epoch"]),
    )


@SPEC.action(*EACH)
def ledger_write_sent(s: State, m: str, c: str) -> Step:
    """The owner records the id, on the strength of what it read."""
    next_stage = RECORDED if m == NO_LEDGER else WRITING
    return s["stage", c] == LISTED, updates((("stage", c), next_stage))


@SPEC.action(*EACH)
def ledger_write_applied(s: State, m: str, c: str) -> Step:
    """The table writes the id unless the row changed; it may do so late."""
    free = z3.BoolVal(True) if m == NO_CAS else z3.Not(_is_listed(s, m, c))
    outcome = z3.If(free, WRITTEN, REFUSED)
    in_time = s["stage", c] == WRITING
    return z3.Or(in_time, s["given_up", c]), updates(
        (("stage", c), z3.If(in_time, outcome, s["stage", c])),
        (("recorded", c), z3.Or(s["recorded", c], free)),
        (("given_up", c), z3.BoolVal(False)),
    )


@SPEC.action(*EACH)
def ledger_write_answered(s: State, _m: str, c: str) -> Step:
    """The answer arrives; a failed check means a duplicate."""
    written = s["stage", c] == WRITTEN
    return z3.Or(written, s["stage", c] == REFUSED), updates(
        (("stage", c), z3.If(written, RECORDED, OVER)),
        (("told", c), z3.If(written, s["told", c], TOLD_DUPLICATE)),
    )


@SPEC.action(*EACH)
def refused_before_sending(s: State, m: str, c: str) -> Step:
    """The ledger is unavailable or the deadline passed: told not run, and final."""
    waiting = [s["stage", c] == n for n in (LISTED, WRITING, WRITTEN, RECORDED)]
    stage = s["stage", c] if m == SENT_AFTER_NO else z3.IntVal(OVER)
    return z3.Or(*waiting), updates(
        (("stage", c), stage),
        (("told", c), TOLD_NOT_RUN),
        (("given_up", c), z3.And(m != SENT_AFTER_NO, s["stage", c] == WRITING)),
    )


@SPEC.action(*EACH)
def request_sent(s: State, _m: str, c: str) -> Step:
    """The owner in force sends a recorded request into a free slot."""
    ready = z3.And(s["stage", c] == RECORDED, _has_authority(s, c))
    free = z3.And(s["counted"], s["count"] == 0, z3.Not(s["message", c]))
    return z3.And(ready, free), updates(
        (("stage", c), SENT),
        (("message", c), z3.BoolVal(True)),
        (("message_epoch", c), s["epoch", c]),
        ("count", s["count"] + 1),
        (("attempts", c), s["attempts", c] + 1),
    )


@SPEC.action(*EACH)
def request_received(s: State, m: str, c: str) -> Step:
    """The server runs a request of its epoch and refuses an older one."""
    admitted = s["message_epoch", c] >= s["fence"]
    if m == NO_EPOCH:
        admitted = z3.BoolVal(True)
    answered = z3.If(admitted, RAN, NOT_RUN)
    return s["message", c], updates(
        (("message", c), z3.BoolVal(False)),
        (("runs", c), s["runs", c] + z3.If(admitted, 1, 0)),
        ("in_use", s["in_use"] + z3.If(admitted, 1, 0)),
        (("stage", c), z3.If(s["stage", c] == SENT, answered, s["stage", c])),
    )


@SPEC.action(*EACH)
def request_refused(s: State, _m: str, c: str) -> Step:
    """A departing server refuses a request and says so."""
    stage = z3.If(s["stage", c] == SENT, NOT_RUN, s["stage", c])
    return s["message", c], updates(
        (("message", c), z3.BoolVal(False)), (("stage", c), stage)
    )


@SPEC.action(*EACH)
def answer_received(s: State, _m: str, c: str) -> Step:
    """The answer frees the slot; after "not run" the request may be sent again."""
    ran = s["stage", c] == RAN
    freed = z3.If(_has_authority(s, c), s["count"] - 1, s["count"])
    return z3.Or(ran, s["stage", c] == NOT_RUN), updates(
        (("stage", c), z3.If(ran, OVER, RECORDED)),
        (("told", c), z3.If(ran, TOLD_RAN, s["told", c])),
        ("count", freed),
        ("in_use", s["in_use"] - z3.If(ran, 1, 0)),
    )


@SPEC.action(*EACH)
def answer_lost(s: State, m: str, c: str) -> Step:
    """The connection breaks; the request or its answer may still be under way."""
    waiting = z3.Or(*(s["stage", c] == n for n in (SENT, RAN, NOT_RUN)))
    stage, told = OVER, TOLD_UNKNOWN
    if m == RESEND:
        stage, told = RECORDED, NOTHING
    if m == UNKNOWN_IS_NO:
        told = TOLD_NOT_RUN
    # The slot stays counted: only the server can say that it is free.
    count = s["count"] - 1 if m == RESEND else s["count"]
    changes = updates((("stage", c), stage), (("told", c), told), ("count", count))
    return waiting, changes


@SPEC.action()
def takeover(s: State, _m: str) -> Step:
    """A new owner knows neither the fence nor the slots in use."""
    return s["shard_epoch"] == 1, updates(
        ("shard_epoch", 2), ("counted", z3.BoolVal(False))
    )


@SPEC.action()
def fenced(s: State, m: str) -> Step:
    """The server raises its fence and tells the slots in use."""
    fence = s["fence"] if m == NO_FENCE else s["shard_epoch"]
    return z3.Not(s["counted"]), updates(
        ("fence", fence), ("count", s["in_use"]), ("counted", z3.BoolVal(True))
    )


@SPEC.invariant
def runs_once(s: State) -> Expr:
    """A non-idempotent request runs at most once, over all its copies."""
    each = [s["runs", c] <= 1 for c in COPIES]
    both = z3.Implies(s["same_id"], s["runs", "c"] + s["runs", "d"] <= 1)
    return z3.And(*each, both)


@SPEC.invariant
def not_run_is_true(s: State) -> Expr:
    """A copy that was told "not run" never runs, before or after."""
    told = [
        z3.Or(s["told", c] == TOLD_NOT_RUN, s["told", c] == TOLD_DUPLICATE)
        for c in COPIES
    ]
    runs = [s["runs", c] > 0 for c in COPIES]
    return z3.And(*(z3.Not(z3.And(t, r)) for t, r in zip(told, runs, strict=True)))


@SPEC.invariant
def no_overcommit(s: State) -> Expr:
    """The server, which has one slot, never runs two requests."""
    return s["in_use"] <= 1


@SPEC.goal
def ran_and_told(s: State) -> Expr:
    """One copy ran and was answered, and the other was refused."""
    ran = z3.And(s["told", "c"] == TOLD_RAN, s["runs", "c"] == 1)
    return z3.And(s["same_id"], ran, s["told", "d"] == TOLD_DUPLICATE)


@SPEC.goal
def ran_under_the_next_owner(s: State) -> Expr:
    """The next owner ran a request after it had fenced the server."""
    return z3.And(s["runs", "d"] == 1, s["epoch", "d"] == 2, s["fence"] == 2)


@SPEC.goal
def sent_again_after_not_run(s: State) -> Expr:
    """A request that a server refused ran in its second attempt."""
    return z3.And(s["attempts", "c"] == 2, s["told", "c"] == TOLD_RAN)
