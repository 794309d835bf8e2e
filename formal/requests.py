"""Non-idempotent requests to a backend server.

The submissions c and d are one request that was submitted twice (`same_id`) or two
requests, dispatched by the owners of one shard or of two (`same_shard`). The owner
reads the ledger row, writes it with a check and only then sends the request. The
backend server has one slot for the shard. Each step may be delayed.
"""

from __future__ import annotations

import z3

from formal.bounded import Expr, Sort, Spec, State, Step, updates

SUBMISSIONS = ("c", "d")
OTHER_SUBMISSION = {"c": "d", "d": "c"}
EACH_SUBMISSION = tuple((c,) for c in SUBMISSIONS)
# Progress of one submission. ABSENT: the ledger was read and doesn't hold the id.
NEW, ABSENT, WRITING, WRITTEN, REFUSED, RECORDED, SENT, RAN, NOT_RUN, DONE = range(10)
# What the client was told. TOLD_DUPLICATE means that this submission did not run.
TOLD_NOTHING, TOLD_RAN, TOLD_NOT_RUN, TOLD_UNKNOWN, TOLD_DUPLICATE = range(5)
INTS = ("stage", "epoch", "message_epoch", "told", "runs", "attempts")
# `given_up`: the owner abandoned its ledger write, which may still be applied.
BOOLS = ("message", "recorded", "given_up")

SPEC = Spec(
    "requests",
    {
        "same_id": Sort.BOOL,
        "same_shard": Sort.BOOL,
        # The shard's epoch, the server's fence, the slots in use at the server and
        # the owner's count of them, which is valid if `counted`.
        **dict.fromkeys(("shard_epoch", "fence", "in_use", "count"), Sort.INT),
        "counted": Sort.BOOL,
        **{f"{name}_{c}": Sort.INT for name in INTS for c in SUBMISSIONS},
        **{f"{name}_{c}": Sort.BOOL for name in BOOLS for c in SUBMISSIONS},
    },
    clocks=(),
)
RESEND = SPEC.mutation("resend after an unknown outcome", "runs_once")
SEND_BEFORE_RECORD = SPEC.mutation("request sent before its ledger record", "runs_once")
NO_CAS = SPEC.mutation("ledger written without compare-and-set", "runs_once")
LEDGER_BY_SHARD = SPEC.mutation("ledger kept by dispatching shard", "runs_once")
UNKNOWN_AS_NOT_RUN = SPEC.mutation("unknown outcome told as not run", "not_run_is_true")
SEND_AFTER_NOT_RUN = SPEC.mutation(
    "request sent after not run was told", "not_run_is_true"
)
NO_EPOCH = SPEC.mutation("no epoch check at the backend server", "no_overcommit")
NO_FENCE = SPEC.mutation("slots counted without the fence", "no_overcommit")


@SPEC.initial
def initial(s: State) -> Expr:
    """The owner is current, the slot is free, and c and d are one request or two."""
    parts = [s["shard_epoch"] == 1, s["fence"] == 1, s["in_use"] == 0]
    parts.append(s["counted"])
    for c in SUBMISSIONS:
        parts += [s["told", c] == TOLD_NOTHING, s["runs", c] == 0]
        parts.append(z3.Not(s["given_up", c]))
    # Submission c may be recorded in the ledger and may be in flight, or both
    # submissions may have read the ledger without finding the id. This shortens the
    # runs.
    sent = s["stage", "c"] == SENT
    recorded = z3.And(z3.Or(s["stage", "c"] == RECORDED, sent), s["epoch", "c"] == 1)
    parts += [s["message", "c"] == sent, s["message_epoch", "c"] == 1]
    parts += [s["attempts", "c"] == z3.If(sent, 1, 0), s["attempts", "d"] == 0]
    parts += [s["count"] == z3.If(sent, 1, 0), z3.Not(s["message", "d"])]
    both = [z3.And(s["stage", c] == ABSENT, s["epoch", c] == 1) for c in SUBMISSIONS]
    new = s["stage", "d"] == NEW
    parts.append(
        z3.Or(z3.And(new, z3.Or(s["stage", "c"] == NEW, recorded)), z3.And(*both))
    )
    parts.append(s["recorded", "c"] == recorded)
    parts.append(z3.Not(s["recorded", "d"]))
    return z3.And(*parts)


def _is_owner_current(s: State, c: str) -> Expr:
    return s["epoch", c] == s["shard_epoch"]


def _is_in_ledger(s: State, m: str, c: str) -> Expr:
    """Return whether the ledger of the submission's owner holds its id."""
    other = z3.And(s["same_id"], s["recorded", OTHER_SUBMISSION[c]])
    if m == LEDGER_BY_SHARD:
        other = z3.And(other, s["same_shard"])
    return z3.Or(s["recorded", c], other)


@SPEC.action(*EACH_SUBMISSION)
def ledger_read(s: State, m: str, c: str) -> Step:
    """The owner looks up the id and refuses a known id as a duplicate."""
    known = _is_in_ledger(s, m, c)
    return s["stage", c] == NEW, updates(
        (("stage", c), z3.If(known, DONE, ABSENT)),
        (("told", c), z3.If(known, TOLD_DUPLICATE, TOLD_NOTHING)),
        (("epoch", c), s["shard_epoch"]),
    )


@SPEC.action(*EACH_SUBMISSION)
def ledger_write_sent(s: State, m: str, c: str) -> Step:
    """The owner sends the write of an id that it did not find in the ledger."""
    next_stage = RECORDED if m == SEND_BEFORE_RECORD else WRITING
    return s["stage", c] == ABSENT, updates((("stage", c), next_stage))


@SPEC.action(*EACH_SUBMISSION)
def ledger_write_applied(s: State, m: str, c: str) -> Step:
    """The table writes the id unless it is recorded; the write may be late."""
    free = z3.BoolVal(True) if m == NO_CAS else z3.Not(_is_in_ledger(s, m, c))
    outcome = z3.If(free, WRITTEN, REFUSED)
    in_time = s["stage", c] == WRITING
    return z3.Or(in_time, s["given_up", c]), updates(
        (("stage", c), z3.If(in_time, outcome, s["stage", c])),
        (("recorded", c), z3.Or(s["recorded", c], free)),
        (("given_up", c), z3.BoolVal(False)),
    )


@SPEC.action(*EACH_SUBMISSION)
def ledger_write_answered(s: State, _m: str, c: str) -> Step:
    """The response arrives; a failed check means a duplicate."""
    written = s["stage", c] == WRITTEN
    return z3.Or(written, s["stage", c] == REFUSED), updates(
        (("stage", c), z3.If(written, RECORDED, DONE)),
        (("told", c), z3.If(written, s["told", c], TOLD_DUPLICATE)),
    )


@SPEC.action(*EACH_SUBMISSION)
def refused_before_sending(s: State, m: str, c: str) -> Step:
    """The ledger is unavailable or the deadline passed; "not run" is final."""
    waiting = [s["stage", c] == n for n in (ABSENT, WRITING, WRITTEN, RECORDED)]
    stage = s["stage", c] if m == SEND_AFTER_NOT_RUN else z3.IntVal(DONE)
    return z3.Or(*waiting), updates(
        (("stage", c), stage),
        (("told", c), TOLD_NOT_RUN),
        (("given_up", c), z3.And(m != SEND_AFTER_NOT_RUN, s["stage", c] == WRITING)),
    )


@SPEC.action(*EACH_SUBMISSION)
def request_sent(s: State, _m: str, c: str) -> Step:
    """The current owner sends a recorded request if the slot is free."""
    ready = z3.And(s["stage", c] == RECORDED, _is_owner_current(s, c))
    free = z3.And(s["counted"], s["count"] == 0, z3.Not(s["message", c]))
    return z3.And(ready, free), updates(
        (("stage", c), SENT),
        (("message", c), z3.BoolVal(True)),
        (("message_epoch", c), s["epoch", c]),
        ("count", s["count"] + 1),
        (("attempts", c), s["attempts", c] + 1),
    )


@SPEC.action(*EACH_SUBMISSION)
def request_received(s: State, m: str, c: str) -> Step:
    """The server runs the request unless its epoch is older than the fence."""
    admitted = s["message_epoch", c] >= s["fence"]
    if m == NO_EPOCH:
        admitted = z3.BoolVal(True)
    outcome = z3.If(admitted, RAN, NOT_RUN)
    return s["message", c], updates(
        (("message", c), z3.BoolVal(False)),
        (("runs", c), s["runs", c] + z3.If(admitted, 1, 0)),
        ("in_use", s["in_use"] + z3.If(admitted, 1, 0)),
        (("stage", c), z3.If(s["stage", c] == SENT, outcome, s["stage", c])),
    )


@SPEC.action(*EACH_SUBMISSION)
def request_refused(s: State, _m: str, c: str) -> Step:
    """A draining server refuses a request and reports that it did not run."""
    stage = z3.If(s["stage", c] == SENT, NOT_RUN, s["stage", c])
    return s["message", c], updates(
        (("message", c), z3.BoolVal(False)), (("stage", c), stage)
    )


@SPEC.action(*EACH_SUBMISSION)
def answer_received(s: State, _m: str, c: str) -> Step:
    """The response frees the slot; after "not run" the owner may resend the request."""
    ran = s["stage", c] == RAN
    next_count = z3.If(_is_owner_current(s, c), s["count"] - 1, s["count"])
    return z3.Or(ran, s["stage", c] == NOT_RUN), updates(
        (("stage", c), z3.If(ran, DONE, RECORDED)),
        (("told", c), z3.If(ran, TOLD_RAN, s["told", c])),
        ("count", next_count),
        ("in_use", s["in_use"] - z3.If(ran, 1, 0)),
    )


@SPEC.action(*EACH_SUBMISSION)
def answer_lost(s: State, m: str, c: str) -> Step:
    """The connection breaks; the request or its response may still be in flight."""
    waiting = z3.Or(*(s["stage", c] == n for n in (SENT, RAN, NOT_RUN)))
    stage, told = DONE, TOLD_UNKNOWN
    if m == RESEND:
        stage, told = RECORDED, TOLD_NOTHING
    if m == UNKNOWN_AS_NOT_RUN:
        told = TOLD_NOT_RUN
    # The slot stays counted because only the server can report it as free.
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
    """The server raises its fence and reports the slots in use."""
    fence = s["fence"] if m == NO_FENCE else s["shard_epoch"]
    return z3.Not(s["counted"]), updates(
        ("fence", fence), ("count", s["in_use"]), ("counted", z3.BoolVal(True))
    )


@SPEC.invariant
def runs_once(s: State) -> Expr:
    """A non-idempotent request runs at most once across all its submissions."""
    each = [s["runs", c] <= 1 for c in SUBMISSIONS]
    both = z3.Implies(s["same_id"], s["runs", "c"] + s["runs", "d"] <= 1)
    return z3.And(*each, both)


@SPEC.invariant
def not_run_is_true(s: State) -> Expr:
    """A submission reported as "not run" or duplicate never runs, before or after."""
    told = [
        z3.Or(s["told", c] == TOLD_NOT_RUN, s["told", c] == TOLD_DUPLICATE)
        for c in SUBMISSIONS
    ]
    runs = [s["runs", c] > 0 for c in SUBMISSIONS]
    return z3.And(*(z3.Not(z3.And(t, r)) for t, r in zip(told, runs, strict=True)))


@SPEC.invariant
def no_overcommit(s: State) -> Expr:
    """The server, which has one slot, never runs two requests at the same time."""
    return s["in_use"] <= 1


@SPEC.goal
def ran_and_told(s: State) -> Expr:
    """Submission c ran and its client was told; d was refused as a duplicate."""
    ran = z3.And(s["told", "c"] == TOLD_RAN, s["runs", "c"] == 1)
    return z3.And(s["same_id"], ran, s["told", "d"] == TOLD_DUPLICATE)


@SPEC.goal
def ran_under_the_next_owner(s: State) -> Expr:
    """The next owner's request ran after the server raised its fence."""
    return z3.And(s["runs", "d"] == 1, s["epoch", "d"] == 2, s["fence"] == 2)


@SPEC.goal
def sent_again_after_not_run(s: State) -> Expr:
    """A request that the server refused ran in its second attempt."""
    return z3.And(s["attempts", "c"] == 2, s["told", "c"] == TOLD_RAN)
