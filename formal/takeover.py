"""Takeover with fencing: one task, the former leader's worker w, another worker v.

The former leader may pause and resume at any time, its transaction and its start
order may arrive late, and worker w may be unreachable for the new leader.
"""

from __future__ import annotations

import z3

from formal.bounded import Expr, Sort, Spec, State, Step, updates

FORMER_EPOCH, NEW_EPOCH = 1, 2
# Progress of the new leader.
IDLE, EPOCH_RAISED, ROWS_READ, RECONCILED = range(4)
TRUE, FALSE = z3.BoolVal(True), z3.BoolVal(False)

FLAGS = (
    # The former leader's transaction is in flight, its start order is in flight,
    # and the start order was sent.
    "commit",
    "order",
    "ordered",
    # The stored rows: the task is placed on worker w or on worker v, or done.
    "placed_w",
    "placed_v",
    "done",
    # Worker w: the task runs, its end is retained, the end was discarded, and the
    # worker's lease has lapsed.
    "run_w",
    "end_w",
    "forgotten",
    "lapsed",
    # Worker v: the task runs.
    "run_v",
    # What the new leader has read from the rows and received from worker w.
    "knows_place",
    "knows_done",
    "heard_run",
    "heard_end",
    # The task was started although its end had been recorded.
    "restarted",
)
SPEC = Spec(
    "takeover",
    {
        "epoch": Sort.INT,
        "stage": Sort.INT,
        "fence_w": Sort.INT,
        **dict.fromkeys(FLAGS, Sort.BOOL),
    },
    clocks=(),
)
START_BEFORE_STORE = SPEC.mutation("start sent before its place is stored", "one_run")
NO_EPOCH_CHECK = SPEC.mutation("transaction without a check of the epoch", "one_run")
READ_BEFORE_RAISE = SPEC.mutation("rows read before the epoch is raised", "one_run")
NO_FENCE = SPEC.mutation("listing without a higher fence", "one_run")
NO_DEADLINE = SPEC.mutation("order carried out after its deadline", "one_run")
ACK_BEFORE_STORE = SPEC.mutation("end acknowledged before it is stored", "done_stays")


@SPEC.initial
def initial(s: State) -> Expr:
    """The former leader leads and the task is queued."""
    unset = [z3.Not(s[name]) for name in FLAGS]
    return z3.And(
        s["epoch"] == FORMER_EPOCH,
        s["stage"] == IDLE,
        s["fence_w"] == FORMER_EPOCH,
        *unset,
    )


@SPEC.action()
def place_on_w(s: State, m: str) -> Step:
    """The former leader sends the transaction that stores the placement."""
    changes = updates(("commit", TRUE))
    if m == START_BEFORE_STORE:
        changes |= updates(("order", TRUE), ("ordered", TRUE))
    return z3.And(
        s["epoch"] == FORMER_EPOCH, z3.Not(s["commit"]), z3.Not(s["placed_w"])
    ), changes


@SPEC.action()
def commit_applied(s: State, m: str) -> Step:
    """The store applies the transaction, possibly late, if its checks pass."""
    check_passes = TRUE if m == NO_EPOCH_CHECK else s["epoch"] == FORMER_EPOCH
    return z3.And(s["commit"], check_passes), updates(
        ("commit", FALSE), ("placed_w", TRUE)
    )


@SPEC.action()
def commit_refused(s: State, _m: str) -> Step:
    """The store rejects a transaction of the former leader."""
    return z3.And(s["commit"], s["epoch"] == NEW_EPOCH), updates(("commit", FALSE))


@SPEC.action()
def start_sent(s: State, _m: str) -> Step:
    """The former leader sends the start order after the commit."""
    return z3.And(s["placed_w"], z3.Not(s["ordered"])), updates(
        ("order", TRUE), ("ordered", TRUE)
    )


@SPEC.action()
def order_carried_out(s: State, m: str) -> Step:
    """Worker w starts the task unless its fence or the order's deadline forbids it."""
    in_time = TRUE if m == NO_DEADLINE else z3.Not(s["lapsed"])
    return z3.And(s["order"], s["fence_w"] == FORMER_EPOCH, in_time), updates(
        ("order", FALSE), ("run_w", TRUE)
    )


@SPEC.action()
def task_ends(s: State, _m: str) -> Step:
    """The task ends; worker w retains its end for the listing."""
    return s["run_w"], updates(("run_w", FALSE), ("end_w", TRUE))


@SPEC.action()
def lease_lapses(s: State, _m: str) -> Step:
    """Worker w can't reach a leader, so its lease lapses and it stops the task."""
    return z3.Not(s["lapsed"]), updates(("lapsed", TRUE), ("run_w", FALSE))


@SPEC.action()
def former_stores_end(s: State, _m: str) -> Step:
    """The former leader stores the end that worker w reported."""
    return z3.And(s["end_w"], s["epoch"] == FORMER_EPOCH), updates(("done", TRUE))


@SPEC.action()
def end_acknowledged(s: State, m: str) -> Step:
    """Worker w discards the end after the acknowledgement."""
    allowed = TRUE if m == ACK_BEFORE_STORE else s["done"]
    return z3.And(s["end_w"], allowed), updates(("end_w", FALSE), ("forgotten", TRUE))


@SPEC.action()
def epoch_raised(s: State, m: str) -> Step:
    """The new leader stores its epoch."""
    if m == READ_BEFORE_RAISE:
        return z3.And(s["epoch"] == FORMER_EPOCH, s["stage"] == ROWS_READ), updates(
            ("epoch", NEW_EPOCH)
        )
    return s["stage"] == IDLE, updates(("epoch", NEW_EPOCH), ("stage", EPOCH_RAISED))


@SPEC.action()
def rows_read(s: State, m: str) -> Step:
    """The new leader reads where the task is placed and whether it is done."""
    before = IDLE if m == READ_BEFORE_RAISE else EPOCH_RAISED
    return s["stage"] == before, updates(
        ("stage", ROWS_READ), ("knows_place", s["placed_w"]), ("knows_done", s["done"])
    )


@SPEC.action()
def worker_listed(s: State, m: str) -> Step:
    """Worker w raises its fence to the new epoch and lists its run and its end."""
    fence = s["fence_w"] if m == NO_FENCE else z3.IntVal(NEW_EPOCH)
    allowed = z3.And(s["epoch"] == NEW_EPOCH, s["stage"] >= ROWS_READ, s["knows_place"])
    return allowed, updates(
        ("stage", RECONCILED),
        ("fence_w", fence),
        ("heard_run", s["run_w"]),
        ("heard_end", z3.Or(s["heard_end"], s["end_w"])),
    )


@SPEC.action()
def worker_given_up(s: State, _m: str) -> Step:
    """The new leader can't reach worker w and waits until its lease has lapsed."""
    allowed = z3.And(
        s["epoch"] == NEW_EPOCH, s["stage"] == ROWS_READ, s["knows_place"], s["lapsed"]
    )
    return allowed, updates(("stage", RECONCILED))


@SPEC.action()
def nothing_to_settle(s: State, _m: str) -> Step:
    """The rows name no worker for the task, so the task runs nowhere."""
    allowed = z3.And(
        s["epoch"] == NEW_EPOCH, s["stage"] == ROWS_READ, z3.Not(s["knows_place"])
    )
    return allowed, updates(("stage", RECONCILED))


@SPEC.action()
def new_stores_end(s: State, _m: str) -> Step:
    """The new leader stores an end that worker w has listed."""
    return s["heard_end"], updates(("done", TRUE), ("knows_done", TRUE))


@SPEC.action()
def place_on_v(s: State, _m: str) -> Step:
    """The new leader stores a new placement for a task that runs nowhere."""
    may_place = z3.Not(z3.Or(s["knows_done"], s["heard_run"], s["heard_end"]))
    return z3.And(s["stage"] == RECONCILED, may_place, z3.Not(s["placed_v"])), updates(
        ("placed_v", TRUE)
    )


@SPEC.action()
def start_on_v(s: State, _m: str) -> Step:
    """Worker v starts the task.

    A worker may report an end after its lease has lapsed, while the task is started
    elsewhere. The platform allows that and stops the later run.
    """
    is_restart = z3.And(z3.Or(s["done"], s["forgotten"]), z3.Not(s["lapsed"]))
    return z3.And(s["placed_v"], z3.Not(s["run_v"])), updates(
        ("run_v", TRUE), ("restarted", is_restart)
    )


@SPEC.invariant
def one_run(s: State) -> Expr:
    """The task never runs on both workers at the same time."""
    return z3.Not(z3.And(s["run_w"], s["run_v"]))


@SPEC.invariant
def done_stays(s: State) -> Expr:
    """A task whose end was recorded is not started again."""
    return z3.Not(s["restarted"])


@SPEC.goal
def moved(s: State) -> Expr:
    """A task that was placed on worker w but never started there runs on worker v."""
    return z3.And(s["run_v"], s["placed_w"], z3.Not(s["lapsed"]))


@SPEC.goal
def inherited(s: State) -> Expr:
    """The new leader stores the end of a task that the former leader started."""
    return z3.And(s["done"], s["heard_end"], s["epoch"] == NEW_EPOCH)
