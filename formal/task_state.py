"""Two tasks of one shard on two workers, through a takeover of the shard.

The ownership model shows that the owners of successive epochs do not overlap, so
the owner's in-memory state is modelled once. A takeover may happen at any moment; it
raises the epoch, clears that state and leaves the old owner's messages in flight.
Messages may be delayed for any time, lost and reordered.

An end is a worker's report that a task ended.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable

import z3

from formal.bounded import Expr, Sort, Spec, State
from marjoramgrade.decisions.fencing import WORKER_LEASE_MS
from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS

WORKER_NUMBER = {"v": 1, "w": 2}
TASKS = ("x", "y")
EACH_WORKER = tuple((w,) for w in WORKER_NUMBER)
EACH_TASK = tuple((t,) for t in TASKS)
EACH_PAIR = tuple(itertools.product(WORKER_NUMBER, TASKS))
QUEUED = 0
FIRST_EPOCH, NEXT_EPOCH = 1, 2
# Progress of a heartbeat: in flight to the owner, then its grant in flight to the
# worker.
NONE, HEARTBEAT, GRANT = range(3)
# Progress of a connection: hello in flight to the worker, then the inventory in
# flight to the owner.
HELLO, INVENTORY = 1, 2
# Progress of an end in the owner's journal.
RECEIVED, WRITING, WRITTEN, DURABLE = 1, 2, 3, 4

WORKER_INTS = ("until", "beat", "beat_sent", "beat_epoch", "fence", "fence_connection")
OWNER_INTS = ("connection", "lapse", "dial", "dial_epoch", "dial_connection")
OWNER_BOOLS = ("confirmed", "reconciled")
PAIR_INTS = ("start_epoch", "start_connection")
LISTED = ("listed_running", "listed_end")
# `unleased`: the worker admitted the task's start without a valid lease.
INITIALLY_FALSE = ("unleased", "end_sent", "ack_sent")
# `kept`: the worker retains the task's end.
PAIR_BOOLS = ("running", "kept", "start_sent", *INITIALLY_FALSE, *LISTED)
TASK_INTS = ["placed", "journal"]
TASK_BOOLS = ["known_open", "done", "finished", "late_write", "repeated"]

SPEC = Spec(
    "tasks",
    {
        "epoch": Sort.INT,
        "rows_read": Sort.BOOL,
        **{f"{n}_{w}": Sort.INT for n in WORKER_INTS + OWNER_INTS for w in "vw"},
        **{f"{n}_{w}": Sort.BOOL for n in OWNER_BOOLS for w in "vw"},
        **{f"{n}_{w}_{t}": Sort.INT for n in PAIR_INTS for w, t in EACH_PAIR},
        **{f"{n}_{w}_{t}": Sort.BOOL for n in PAIR_BOOLS for w, t in EACH_PAIR},
        **{f"{n}_{t}": Sort.INT for n in TASK_INTS for t in TASKS},
        **{f"{n}_{t}": Sort.BOOL for n in TASK_BOOLS for t in TASKS},
    },
    clocks=("clock_o", "clock_v", "clock_w"),
)
NO_EPOCH_CHECK = SPEC.mutation("no epoch check at the worker", "one_place")
NO_CONNECTION_CHECK = SPEC.mutation(
    "start of an older connection admitted", "one_place"
)
NO_LEASE_CHECK = SPEC.mutation("start admitted after the worker lease", "one_place")
NO_RECONCILIATION = SPEC.mutation("no reconciliation wait", "one_place")
COUNT_FROM_GRANT = SPEC.mutation("worker lease counted from the grant", "one_place")
NO_MARGIN = SPEC.mutation("no drift margin for lapsed workers", "one_place")
LAPSED_RESUMES = SPEC.mutation("lapsed worker resumes its tasks", "one_place")
ACK_BEFORE_WRITE = SPEC.mutation(
    "end acknowledged before the durable write", "no_end_lost"
)
LAPSED_DROPS_ENDS = SPEC.mutation("lapsed worker drops its ends", "no_end_lost")
ROWS_CACHED = SPEC.mutation("job rows cached before the takeover", "no_repeat")
NO_ROW_CHECK = SPEC.mutation("end written without an epoch check", "no_repeat")
NO_INVENTORY = SPEC.mutation("inventory ignored in the placement", "no_overcommit")
TRUE, FALSE = z3.BoolVal(True), z3.BoolVal(False)


def is_in_stage(
    s: State, t: str, placed: int, running: bool, end_retained: bool, journal: int
) -> Expr:
    """Return whether a task is in a given stage and absent from worker w."""
    return z3.And(
        s["placed", t] == placed,
        s["running", "v", t] == running,
        s["start_sent", "v", t] == (placed != QUEUED and not running),
        s["start_epoch", "v", t] == FIRST_EPOCH,
        s["start_connection", "v", t] == 1,
        z3.Not(s["start_sent", "w", t]),
        s["kept", "v", t] == end_retained,
        s["journal", t] == journal,
        s["finished", t] == end_retained,
        s["done", t] == (journal >= WRITTEN),
        z3.Not(s["running", "w", t]),
        z3.Not(s["kept", "w", t]),
    )


def is_queued(s: State, t: str = "x") -> Expr:
    """Return whether a task is queued."""
    return is_in_stage(s, t, QUEUED, running=False, end_retained=False, journal=NONE)


STAGES: tuple[Callable[[State], Expr], ...] = (
    lambda s: is_in_stage(s, "x", 1, running=False, end_retained=False, journal=NONE),
    lambda s: is_in_stage(s, "x", 1, running=True, end_retained=False, journal=NONE),
    lambda s: is_in_stage(
        s, "x", QUEUED, running=False, end_retained=True, journal=RECEIVED
    ),
    lambda s: is_in_stage(
        s, "x", QUEUED, running=False, end_retained=True, journal=WRITTEN
    ),
)


@SPEC.initial
def initial(s: State) -> Expr:
    """A current owner and workers with a full lease.

    Heartbeats may be in flight. Task y is queued. Task x is queued, its start is in
    flight to worker v, it runs there, or it has ended there and its end is received
    or written by the journal. This shortens the runs to be explored.
    """
    parts = [s["epoch"] == FIRST_EPOCH, s["rows_read"]]
    for w in WORKER_NUMBER:
        parts += [
            s["until", w] == s["clock", w] + WORKER_LEASE_MS,
            s["lapse", w] == s["clock_o"] + WORKER_LEASE_MS + DRIFT_MARGIN_MS,
            z3.Or(s["beat", w] == NONE, s["beat", w] == HEARTBEAT),
            s["beat_sent", w] == s["clock", w],
            s["beat_epoch", w] == FIRST_EPOCH,
            s["fence", w] == FIRST_EPOCH,
            s["fence_connection", w] == 1,
            s["connection", w] == 1,
            s["dial", w] == NONE,
            s["confirmed", w],
            s["reconciled", w],
        ]
    for t in TASKS:
        parts.append(s["known_open", t])
        parts += [z3.Not(s[n, t]) for n in ("late_write", "repeated")]
    parts += [z3.Not(s[n, w, t]) for n in INITIALLY_FALSE for w, t in EACH_PAIR]
    parts += [is_queued(s, "y"), z3.Or(*(case(s) for case in (is_queued, *STAGES)))]
    return z3.And(*parts)


def has_lease(s: State, w: str) -> Expr:
    """Return whether a worker's lease is valid, so that tasks may run there."""
    return s["clock", w] < s["until", w]


def runs(s: State, w: str, t: str) -> Expr:
    """Return whether a task runs on a worker."""
    allowed = z3.Or(has_lease(s, w), s["unleased", w, t])
    return z3.And(s["running", w, t], allowed)
