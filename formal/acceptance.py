"""Acceptance of one job: its row, the response to the client, the owner's queue.

An attempt may also be refused by an estimate, while another attempt of the same job
that came before it is accepted through another leader.
"""

from __future__ import annotations

import z3

from formal.bounded import Expr, Sort, Spec, State, Step, updates

# Progress of the accepting instance's write.
NEW, SENT, APPLIED, LOST, DONE = range(5)
# The instance has refused the job by an estimate, and nobody has been told yet.
REFUSED = 5
# What the client was told; a job that is too late by the estimate has not run either.
TOLD_NOTHING, TOLD_ACCEPTED, TOLD_NOT_RUN, TOLD_UNKNOWN, TOLD_TOO_LATE = range(5)

SPEC = Spec(
    "acceptance",
    {
        "stage": Sort.INT,
        "told": Sort.INT,
        **dict.fromkeys(("row", "late", "notice", "queued", "started"), Sort.BOOL),
        # The store has the accepting instance as the leader.
        "leads": Sort.BOOL,
        # The job was in the store when its refusal was told.
        "refused_stored": Sort.BOOL,
        # The owner has applied the change feed up to the row's version.
        "feed_read": Sort.BOOL,
    },
    clocks=(),
)
TELL_BEFORE_WRITE = SPEC.mutation(
    "acceptance told before the durable write", "accepted_kept"
)
LOST_AS_NOT_RUN = SPEC.mutation("lost answer told as not run", "not_run_is_true")
QUEUE_BEFORE_WRITE = SPEC.mutation(
    "job queued before its row is durable", "not_run_is_true"
)
ESTIMATE_UNCONFIRMED = SPEC.mutation(
    "refusal by estimate without a confirmed lead", "refused_nowhere_accepted"
)
NOTICE_ONLY = SPEC.mutation("owner told by message alone", "accepted_found")


@SPEC.initial
def initial(s: State) -> Expr:
    """The job has not been written and no message has been sent."""
    flags = ("row", "late", "notice", "queued", "started", "feed_read")
    parts = [z3.Not(s[n]) for n in (*flags, "refused_stored")]
    return z3.And(s["stage"] == NEW, s["told"] == TOLD_NOTHING, s["leads"], *parts)


@SPEC.action()
def write_sent(s: State, m: str) -> Step:
    """The accepting instance writes the job's row."""
    changes = updates(("stage", SENT))
    if m == TELL_BEFORE_WRITE:
        changes["told"] = z3.IntVal(TOLD_ACCEPTED)
    if m == QUEUE_BEFORE_WRITE:
        changes["notice"] = z3.BoolVal(True)
    return z3.And(s["stage"] == NEW, s["leads"]), changes


@SPEC.action()
def estimate_refuses(s: State, _m: str) -> Step:
    """The instance finds that the job would complete too late."""
    return s["stage"] == NEW, updates(("stage", REFUSED))


@SPEC.action()
def lead_replaced(s: State, _m: str) -> Step:
    """Another instance leads; this one may not know.

    What becomes of a write that is under way is part of `takeover`.
    """
    is_idle = z3.Or(s["stage"] == NEW, s["stage"] == REFUSED)
    return z3.And(s["leads"], is_idle), updates(("leads", z3.BoolVal(False)))


@SPEC.action()
def successor_accepts(s: State, _m: str) -> Step:
    """The other leader stores the job for an earlier attempt of the client.

    Once the client was refused, all earlier attempts have expired.
    """
    is_waiting = z3.Not(s["told"] == TOLD_TOO_LATE)
    return z3.And(z3.Not(s["leads"]), is_waiting), updates(
        ("row", z3.BoolVal(True)), ("feed_read", z3.BoolVal(False))
    )


@SPEC.action()
def refusal_confirmed(s: State, m: str) -> Step:
    """The store confirms the lead, and the client is told that the job did not run."""
    guard = s["stage"] == REFUSED
    if m != ESTIMATE_UNCONFIRMED:
        guard = z3.And(guard, s["leads"])
    return guard, updates(
        ("stage", DONE), ("told", TOLD_TOO_LATE), ("refused_stored", s["row"])
    )


@SPEC.action()
def refusal_unconfirmed(s: State, _m: str) -> Step:
    """The store does not confirm the lead, or not in time: the outcome is unknown."""
    return s["stage"] == REFUSED, updates(("stage", DONE), ("told", TOLD_UNKNOWN))


@SPEC.action()
def write_applied(s: State, _m: str) -> Step:
    """The row becomes durable, in time or after the sender timed out."""
    in_time = s["stage"] == SENT
    return z3.Or(in_time, s["late"]), updates(
        ("row", z3.BoolVal(True)),
        ("late", z3.BoolVal(False)),
        ("stage", z3.If(in_time, APPLIED, s["stage"])),
        ("feed_read", z3.BoolVal(False)),
    )


@SPEC.action()
def write_failed(s: State, m: str) -> Step:
    """The table reports that it did not write the row."""
    told = s["told"] if m == TELL_BEFORE_WRITE else z3.IntVal(TOLD_NOT_RUN)
    return s["stage"] == SENT, updates(("stage", DONE), ("told", told))


@SPEC.action()
def write_answered(s: State, _m: str) -> Step:
    """The instance tells the client of the acceptance and notifies the owner."""
    return s["stage"] == APPLIED, updates(
        ("stage", DONE), ("told", TOLD_ACCEPTED), ("notice", z3.BoolVal(True))
    )


@SPEC.action()
def answer_lost(s: State, m: str) -> Step:
    """The outcome is unknown and the write may still be applied."""
    told = TOLD_NOT_RUN if m == LOST_AS_NOT_RUN else TOLD_UNKNOWN
    return z3.Or(s["stage"] == SENT, s["stage"] == APPLIED), updates(
        ("stage", DONE), ("told", told), ("late", s["stage"] == SENT)
    )


@SPEC.action()
def notice_received(s: State, _m: str) -> Step:
    """The owner queues the job when it receives the notice."""
    return s["notice"], updates(
        ("notice", z3.BoolVal(False)), ("queued", z3.BoolVal(True))
    )


@SPEC.action()
def notice_lost(s: State, _m: str) -> Step:
    """The notice to the owner is lost."""
    return s["notice"], updates(("notice", z3.BoolVal(False)))


@SPEC.action()
def takeover(s: State, _m: str) -> Step:
    """A new owner starts with an empty queue and reads the feed from the start."""
    return z3.BoolVal(True), updates(
        ("queued", z3.BoolVal(False)), ("feed_read", z3.BoolVal(False))
    )


@SPEC.action()
def feed_read(s: State, m: str) -> Step:
    """The owner applies the change feed of the job rows."""
    queued = s["queued"] if m == NOTICE_ONLY else z3.Or(s["queued"], s["row"])
    return z3.BoolVal(True), updates(
        ("feed_read", z3.BoolVal(True)), ("queued", queued)
    )


@SPEC.action()
def started(s: State, _m: str) -> Step:
    """The owner starts the queued job."""
    return s["queued"], updates(("started", z3.BoolVal(True)))


@SPEC.invariant
def accepted_kept(s: State) -> Expr:
    """A job that was reported as accepted is in the table."""
    return z3.Implies(s["told"] == TOLD_ACCEPTED, s["row"])


@SPEC.invariant
def accepted_found(s: State) -> Expr:
    """A stored job is queued once the owner has read the feed."""
    return z3.Implies(z3.And(s["row"], s["feed_read"]), s["queued"])


@SPEC.invariant
def not_run_is_true(s: State) -> Expr:
    """A job that was reported as not run is never started."""
    told_not_run = z3.Or(s["told"] == TOLD_NOT_RUN, s["told"] == TOLD_TOO_LATE)
    return z3.Not(z3.And(told_not_run, s["started"]))


@SPEC.invariant
def refused_nowhere_accepted(s: State) -> Expr:
    """A job that an estimate refused as not run was accepted nowhere at that time."""
    return z3.Not(s["refused_stored"])


@SPEC.goal
def refused_by_estimate(s: State) -> Expr:
    """A job was refused by an estimate, and its client was told."""
    return s["told"] == TOLD_TOO_LATE


@SPEC.goal
def refused_here_accepted_elsewhere(s: State) -> Expr:
    """A former leader refused the job, and its client was told nothing certain."""
    return z3.And(s["told"] == TOLD_UNKNOWN, z3.Not(s["leads"]), s["started"])


@SPEC.goal
def accepted_and_started(s: State) -> Expr:
    """A job was accepted and started, and the owner has read the feed."""
    return z3.And(s["told"] == TOLD_ACCEPTED, s["started"], s["feed_read"])
