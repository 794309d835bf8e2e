"""Actions and properties of the tasks of one shard; see `task_state`."""

from __future__ import annotations

import z3

from formal.bounded import Expr, State, Step, updates
from formal.task_state import (
    ACK_BEFORE_WRITE,
    COUNT_FROM_GRANT,
    DURABLE,
    EACH_PAIR,
    EACH_TASK,
    EACH_WORKER,
    FALSE,
    FIRST_EPOCH,
    GRANT,
    HEARTBEAT,
    HELLO,
    INVENTORY,
    LAPSED_DROPS_ENDS,
    LAPSED_RESUMES,
    NEXT_EPOCH,
    NO_CONNECTION_CHECK,
    NO_EPOCH_CHECK,
    NO_INVENTORY,
    NO_LEASE_CHECK,
    NO_MARGIN,
    NO_RECONCILIATION,
    NO_ROW_CHECK,
    NONE,
    QUEUED,
    RECEIVED,
    ROWS_CACHED,
    SPEC,
    TASKS,
    TRUE,
    WORKER_NUMBER,
    WRITING,
    WRITTEN,
    has_lease,
    runs,
)
from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS

# Actions of the owner.


@SPEC.action()
def takeover(s: State, _m: str) -> Step:
    """A new owner starts without state and connects to every worker."""
    changes = updates(("epoch", NEXT_EPOCH), ("rows_read", FALSE))
    for w in WORKER_NUMBER:
        lapse = s["clock_o"] + WORKER_LEASE_MS + DRIFT_MARGIN_MS
        changes.update(
            updates(
                (("lapse", w), lapse),
                (("connection", w), 1),
                (("confirmed", w), FALSE),
                (("reconciled", w), FALSE),
                (("dial", w), HELLO),
                (("dial_epoch", w), NEXT_EPOCH),
                (("dial_connection", w), 1),
            )
        )
        changes.update(updates(*((("end_sent", w, t), FALSE) for t in TASKS)))
    for t in TASKS:
        changes.update(
            updates(
                (("placed", t), QUEUED),
                (("journal", t), NONE),
                (("known_open", t), FALSE),
                (("late_write", t), s["journal", t] == WRITING),
            )
        )
    return s["epoch"] == FIRST_EPOCH, changes


@SPEC.action(*EACH_WORKER)
def redialed(s: State, _m: str, w: str) -> Step:
    """The owner reconnects to a worker after a broken connection."""
    return s["dial", w] == NONE, updates(
        (("connection", w), s["connection", w] + 1),
        (("confirmed", w), FALSE),
        (("dial", w), HELLO),
        (("dial_epoch", w), s["epoch"]),
        (("dial_connection", w), s["connection", w] + 1),
    )


@SPEC.action(*EACH_WORKER)
def inventory_received(s: State, m: str, w: str) -> Step:
    """The owner confirms a worker and adopts its running tasks and its ends."""
    current = z3.And(
        s["dial_epoch", w] == s["epoch"], s["dial_connection", w] == s["connection", w]
    )
    changes = updates(
        (("dial", w), NONE),
        (("confirmed", w), z3.Or(current, s["confirmed", w])),
        (("reconciled", w), z3.Or(current, s["reconciled", w])),
    )
    for t in TASKS:
        placed_here = s["placed", t] == WORKER_NUMBER[w]
        placed = z3.If(placed_here, QUEUED, s["placed", t])
        if m != NO_INVENTORY:
            placed = z3.If(s["listed_running", w, t], WORKER_NUMBER[w], placed)
        ended = z3.And(current, s["listed_end", w, t], s["journal", t] == NONE)
        changes.update(
            updates(
                (("placed", t), z3.If(current, placed, s["placed", t])),
                (("journal", t), z3.If(ended, RECEIVED, s["journal", t])),
            )
        )
    return s["dial", w] == INVENTORY, changes


@SPEC.action(*EACH_WORKER)
def worker_lapsed(s: State, m: str, w: str) -> Step:
    """The owner requeues the tasks of a worker whose lease has certainly lapsed."""
    margin = DRIFT_MARGIN_MS if m == NO_MARGIN else 0
    changes = updates(
        (("confirmed", w), FALSE),
        (("reconciled", w), TRUE),
        (("connection", w), s["connection", w] + 1),
        (("dial", w), NONE),
    )
    for t in TASKS:
        placed_here = s["placed", t] == WORKER_NUMBER[w]
        changes[f"placed_{t}"] = z3.If(placed_here, QUEUED, s["placed", t])
    return s["clock_o"] >= s["lapse", w] - margin, changes


@SPEC.action()
def rows_received(s: State, m: str) -> Step:
    """The new owner reads the job rows after its takeover was applied."""
    is_open = [TRUE if m == ROWS_CACHED else z3.Not(s["done", t]) for t in TASKS]
    changes = {
        f"known_open_{t}": known for t, known in zip(TASKS, is_open, strict=True)
    }
    changes["rows_read"] = TRUE
    return z3.Not(s["rows_read"]), changes


@SPEC.action(*EACH_PAIR)
def start_sent(s: State, m: str, w: str, t: str) -> Step:
    """The owner places a queued task on a confirmed worker with free capacity."""
    free = z3.And(*(s["placed", other] != WORKER_NUMBER[w] for other in TASKS))
    ready = z3.And(*(s["reconciled", other] for other in WORKER_NUMBER))
    if m == NO_RECONCILIATION:
        ready = TRUE
    queued = z3.And(
        s["known_open", t], s["placed", t] == QUEUED, s["journal", t] == NONE
    )
    unsent = z3.Not(s["start_sent", w, t])
    guard = z3.And(s["rows_read"], ready, s["confirmed", w], free, queued, unsent)
    return guard, updates(
        (("placed", t), WORKER_NUMBER[w]),
        (("start_sent", w, t), TRUE),
        (("start_epoch", w, t), s["epoch"]),
        (("start_connection", w, t), s["connection", w]),
        (("repeated", t), z3.Or(s["repeated", t], s["done", t])),
    )


@SPEC.action(*EACH_WORKER)
def grant_sent(s: State, _m: str, w: str) -> Step:
    """The owner replies to a heartbeat and counts the lease from the reply."""
    current = z3.And(s["beat", w] == HEARTBEAT, s["beat_epoch", w] == s["epoch"])
    return z3.And(current, s["confirmed", w]), updates(
        (("beat", w), GRANT),
        (("lapse", w), s["clock_o"] + WORKER_LEASE_MS + DRIFT_MARGIN_MS),
    )


@SPEC.action(*EACH_PAIR)
def end_received(s: State, _m: str, w: str, t: str) -> Step:
    """The owner receives an end, frees the worker's capacity and queues the write."""
    placed_here = s["placed", t] == WORKER_NUMBER[w]
    return z3.And(s["end_sent", w, t], s["confirmed", w]), updates(
        (("end_sent", w, t), FALSE),
        (("placed", t), z3.If(placed_here, QUEUED, s["placed", t])),
        (("journal", t), z3.If(s["journal", t] == NONE, RECEIVED, s["journal", t])),
    )


@SPEC.action(*EACH_TASK)
def end_write_sent(s: State, _m: str, t: str) -> Step:
    """The journal sends the write of an end."""
    return s["journal", t] == RECEIVED, updates((("journal", t), WRITING))


@SPEC.action(*EACH_TASK)
def end_write_applied(s: State, _m: str, t: str) -> Step:
    """The table applies the write of an end."""
    ready = s["journal", t] == WRITING
    return ready, updates((("journal", t), WRITTEN), (("done", t), TRUE))


@SPEC.action(*EACH_TASK)
def end_write_answered(s: State, _m: str, t: str) -> Step:
    """The response to the write of an end arrives."""
    return s["journal", t] == WRITTEN, updates((("journal", t), DURABLE))


@SPEC.action(*EACH_TASK)
def end_answer_lost(s: State, _m: str, t: str) -> Step:
    """The response to the write of an end is lost; the write is resent unchanged."""
    return s["journal", t] == WRITTEN, updates((("journal", t), RECEIVED))


@SPEC.action(*EACH_TASK)
def late_end_applied(s: State, m: str, t: str) -> Step:
    """The old owner's late write arrives; the table's check of the epoch rejects it."""
    changes = updates((("late_write", t), FALSE))
    if m == NO_ROW_CHECK:
        changes[f"done_{t}"] = TRUE
    return s["late_write", t], changes


@SPEC.action(*EACH_PAIR)
def ack_sent(s: State, m: str, w: str, t: str) -> Step:
    """The owner acknowledges a durable end."""
    allowed = s["journal", t] >= (RECEIVED if m == ACK_BEFORE_WRITE else DURABLE)
    return z3.And(allowed, s["confirmed", w]), updates((("ack_sent", w, t), TRUE))


# Actions of the workers.


@SPEC.action(*EACH_WORKER)
def hello_received(s: State, m: str, w: str) -> Step:
    """A worker raises its fence and sends its inventory; lapsed workers run nothing."""
    newer = z3.Or(
        s["dial_epoch", w] > s["fence", w],
        z3.And(
            s["dial_epoch", w] == s["fence", w],
            s["dial_connection", w] > s["fence_connection", w],
        ),
    )
    changes = updates(
        (("dial", w), z3.If(newer, INVENTORY, NONE)),
        (("fence", w), z3.If(newer, s["dial_epoch", w], s["fence", w])),
        (
            ("fence_connection", w),
            z3.If(newer, s["dial_connection", w], s["fence_connection", w]),
        ),
    )
    for t in TASKS:
        changes[f"listed_running_{w}_{t}"] = runs(s, w, t)
        changes[f"listed_end_{w}_{t}"] = s["kept", w, t]
    return s["dial", w] == HELLO, changes


@SPEC.action(*EACH_PAIR)
def start_received(s: State, m: str, w: str, t: str) -> Step:
    """A worker starts a task of its newest connection while its lease is valid."""
    checks = []
    if m != NO_EPOCH_CHECK:
        checks.append(s["start_epoch", w, t] == s["fence", w])
    if m != NO_CONNECTION_CHECK:
        older = s["start_epoch", w, t] < s["fence", w]
        current = s["start_connection", w, t] == s["fence_connection", w]
        checks.append(z3.Or(older, current))
    if m != NO_LEASE_CHECK:
        checks.append(has_lease(s, w))
    admitted = z3.And(*checks)
    return s["start_sent", w, t], updates(
        (("start_sent", w, t), FALSE),
        (("running", w, t), z3.Or(s["running", w, t], admitted)),
        (("unleased", w, t), z3.And(admitted, z3.Not(has_lease(s, w)))),
    )


@SPEC.action(*EACH_WORKER)
def heartbeat_sent(s: State, _m: str, w: str) -> Step:
    """A worker sends a heartbeat; an older heartbeat in flight is lost."""
    return s["beat", w] != GRANT, updates(
        (("beat", w), HEARTBEAT),
        (("beat_sent", w), s["clock", w]),
        (("beat_epoch", w), s["fence", w]),
    )


@SPEC.action(*EACH_WORKER)
def grant_received(s: State, m: str, w: str) -> Step:
    """The lease counts from the heartbeat; tasks stop if it had lapsed before."""
    counted_from = s["clock", w] if m == COUNT_FROM_GRANT else s["beat_sent", w]
    end = counted_from + WORKER_LEASE_MS
    admitted = z3.And(s["beat_epoch", w] >= s["fence", w], end > s["until", w])
    changes = updates(
        (("beat", w), NONE), (("until", w), z3.If(admitted, end, s["until", w]))
    )
    if m != LAPSED_RESUMES:
        for t in TASKS:
            changes[f"running_{w}_{t}"] = runs(s, w, t)
    if m == LAPSED_DROPS_ENDS:
        for t in TASKS:
            changes[f"kept_{w}_{t}"] = z3.And(has_lease(s, w), s["kept", w, t])
    return s["beat", w] == GRANT, changes


@SPEC.action(*EACH_PAIR)
def task_ended(s: State, _m: str, w: str, t: str) -> Step:
    """A task ends; the worker retains the end until it is acknowledged."""
    return runs(s, w, t), updates(
        (("running", w, t), FALSE),
        (("unleased", w, t), FALSE),
        (("kept", w, t), TRUE),
        (("finished", t), TRUE),
        (("end_sent", w, t), s["fence", w] == s["epoch"]),
    )


@SPEC.action(*EACH_PAIR)
def ack_received(s: State, m: str, w: str, t: str) -> Step:
    """A worker discards an end that the owner has acknowledged."""
    return s["ack_sent", w, t], updates(
        (("ack_sent", w, t), FALSE), (("kept", w, t), FALSE)
    )


@SPEC.invariant
def one_place(s: State) -> Expr:
    """No task runs on two workers at the same time."""
    return z3.And(*(z3.Not(z3.And(runs(s, "v", t), runs(s, "w", t))) for t in TASKS))


@SPEC.invariant
def no_overcommit(s: State) -> Expr:
    """No worker, which has capacity for one task, runs two at the same time."""
    return z3.And(*(z3.Not(z3.And(runs(s, w, "x"), runs(s, w, "y"))) for w in "vw"))


@SPEC.invariant
def no_end_lost(s: State) -> Expr:
    """The end of every finished task is recorded or retained by a worker."""
    preserved = [
        z3.Or(s["done", t], s["kept", "v", t], s["kept", "w", t]) for t in TASKS
    ]
    ends = [s["finished", t] for t in TASKS]
    return z3.And(*(z3.Implies(e, k) for e, k in zip(ends, preserved, strict=True)))


@SPEC.invariant
def no_repeat(s: State) -> Expr:
    """No task is sent to a worker after its end was recorded."""
    return z3.Not(z3.Or(*(s["repeated", t] for t in TASKS)))


@SPEC.goal
def started_ended_and_acknowledged(s: State) -> Expr:
    """A task ran, its end was recorded and the worker discarded the end."""
    discarded = z3.And(z3.Not(s["kept", "w", "y"]), z3.Not(s["ack_sent", "w", "y"]))
    return z3.And(s["finished", "y"], s["done", "y"], discarded)


@SPEC.goal
def started_by_the_next_owner(s: State) -> Expr:
    """A task of the first owner still runs and the next owner starts another."""
    started = z3.And(runs(s, "w", "y"), s["start_epoch", "w", "y"] == NEXT_EPOCH)
    return z3.And(runs(s, "v", "x"), s["placed", "x"] == WORKER_NUMBER["v"], started)


@SPEC.goal
def restarted_elsewhere(s: State) -> Expr:
    """A task runs on a second worker after the first one lapsed."""
    return z3.And(s["running", "v", "x"], runs(s, "w", "x"))
