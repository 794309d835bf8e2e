"""Takeover by fence: one task, a worker of the former leader, and another worker.

The former leader may pause and go on at any time, its transaction and its order may
arrive late, and the worker may be out of reach of the new leader.
"""

from __future__ import annotations

import z3

from formal.bounded import Expr, Sort, Spec, State, Step, updates

FORMER, NEW = 1, 2
IDLE, RAISED, READ, SETTLED = range(4)
YES, NO = z3.BoolVal(True), z3.BoolVal(False)

FLAGS = (
    # The former leader's transaction and its order are on their way.
    "commit",
    "order",
    "ordered",
    # What the rows say: the task is placed on the one or the other worker, or done.
    "placed_w",
    "placed_v",
    "done",
    # The worker of the former leader.
    "run_w",
    "end_w",
    "forgotten",
    "lapsed",
    # The other worker.
    "run_v",
    # What the new leader has read and heard.
    "knows_place",
    "knows_done",
    "heard_run",
    "heard_end",
    # A task was started although its end had been taken over.
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
START_FIRST = SPEC.mutation("start sent before its place is stored", "one_run")
NO_EPOCH_CHECK = SPEC.mutation("transaction without a check of the epoch", "one_run")
READ_FIRST = SPEC.mutation("rows read before the epoch is raised", "one_run")
NO_FENCE = SPEC.mutation("listing without a higher fence", "one_run")
NO_DEADLINE = SPEC.mutation("order carried out after its deadline", "one_run")
FORGET_FIRST = SPEC.mutation("end acknowledged before it is stored", "done_stays")


@SPEC.initial
def initial(s: State) -> Expr:
    """The former leader leads and the task waits."""
    clear = [z3.Not(s[name]) for name in FLAGS]
    return z3.And(
        s["epoch"] == FORMER, s["stage"] == IDLE, s["fence_w"] == FORMER, *clear
    )


@SPEC.action()
def place_on_w(s: State, m: str) -> Step:
    """The former leader sends the transaction that stores the place."""
    changes = updates(("commit", YES))
    if m == START_FIRST:
        changes |= updates(("order", YES), ("ordered", YES))
    return z3.And(s["epoch"] == FORMER, z3.Not(s["commit"]), z3.Not(s["placed_w"])), (
        changes
    )


@SPEC.action()
def commit_applied(s: State, m: str) -> Step:
    """The store applies the transaction, perhaps late, if its checks hold."""
    holds = YES if m == NO_EPOCH_CHECK else s["epoch"] == FORMER
    return z3.And(s["commit"], holds), updates(("commit", NO), ("placed_w", YES))


@SPEC.action()
def commit_refused(s: State, _m: str) -> Step:
    """The store refuses a transaction of the former leader."""
    return z3.And(s["commit"], s["epoch"] == NEW), updates(("commit", NO))


@SPEC.action()
def start_sent(s: State, _m: str) -> Step:
    """The former leader, which has heard of the commit, sends the order."""
    return z3.And(s["placed_w"], z3.Not(s["ordered"])), updates(
        ("order", YES), ("ordered", YES)
    )


@SPEC.action()
def order_carried_out(s: State, m: str) -> Step:
    """The worker starts the task, unless fence or deadline forbid it."""
    in_time = YES if m == NO_DEADLINE else z3.Not(s["lapsed"])
    return z3.And(s["order"], s["fence_w"] == FORMER, in_time), updates(
        ("order", NO), ("run_w", YES)
    )


@SPEC.action()
def task_ends(s: State, _m: str) -> Step:
    """The task is done; the worker lists its end."""
    return s["run_w"], updates(("run_w", NO), ("end_w", YES))


@SPEC.action()
def lease_lapses(s: State, _m: str) -> Step:
    """The worker, heard by no leader, stops what runs."""
    return z3.Not(s["lapsed"]), updates(("lapsed", YES), ("run_w", NO))


@SPEC.action()
def former_stores_end(s: State, _m: str) -> Step:
    """The former leader stores the end that it has heard of."""
    return z3.And(s["end_w"], s["epoch"] == FORMER), updates(("done", YES))


@SPEC.action()
def end_acknowledged(s: State, m: str) -> Step:
    """The worker forgets an end."""
    may = YES if m == FORGET_FIRST else s["done"]
    return z3.And(s["end_w"], may), updates(("end_w", NO), ("forgotten", YES))


@SPEC.action()
def epoch_raised(s: State, m: str) -> Step:
    """The new leader writes its epoch."""
    if m == READ_FIRST:
        return z3.And(s["epoch"] == FORMER, s["stage"] == READ), updates(("epoch", NEW))
    return s["stage"] == IDLE, updates(("epoch", NEW), ("stage", RAISED))


@SPEC.action()
def rows_read(s: State, m: str) -> Step:
    """The new leader reads where the task is and whether it is done."""
    before = IDLE if m == READ_FIRST else RAISED
    return s["stage"] == before, updates(
        ("stage", READ), ("knows_place", s["placed_w"]), ("knows_done", s["done"])
    )


@SPEC.action()
def worker_listed(s: State, m: str) -> Step:
    """The worker tells what it has, under a fence of the new epoch."""
    fence = s["fence_w"] if m == NO_FENCE else z3.IntVal(NEW)
    may = z3.And(s["epoch"] == NEW, s["stage"] >= READ, s["knows_place"])
    return may, updates(
        ("stage", SETTLED),
        ("fence_w", fence),
        ("heard_run", s["run_w"]),
        ("heard_end", z3.Or(s["heard_end"], s["end_w"])),
    )


@SPEC.action()
def worker_given_up(s: State, _m: str) -> Step:
    """The new leader does not reach the worker and waits for its lease to lapse."""
    may = z3.And(s["epoch"] == NEW, s["stage"] == READ, s["knows_place"], s["lapsed"])
    return may, updates(("stage", SETTLED))


@SPEC.action()
def nothing_to_settle(s: State, _m: str) -> Step:
    """The rows name no worker for the task, so it is nowhere."""
    may = z3.And(s["epoch"] == NEW, s["stage"] == READ, z3.Not(s["knows_place"]))
    return may, updates(("stage", SETTLED))


@SPEC.action()
def new_stores_end(s: State, _m: str) -> Step:
    """The new leader stores an end that the worker has listed."""
    return s["heard_end"], updates(("done", YES), ("knows_done", YES))


@SPEC.action()
def place_on_v(s: State, _m: str) -> Step:
    """The new leader stores another place for a task that is nowhere."""
    is_nowhere = z3.Not(z3.Or(s["knows_done"], s["heard_run"], s["heard_end"]))
    return z3.And(s["stage"] == SETTLED, is_nowhere, z3.Not(s["placed_v"])), updates(
        ("placed_v", YES)
    )


@SPEC.action()
def start_on_v(s: State, _m: str) -> Step:
    """The other worker starts the task.

    An end that a worker tells after its lease has lapsed may come while the task is
    started elsewhere; the platform allows that, and the later run is stopped.
    """
    is_ended = z3.And(z3.Or(s["done"], s["forgotten"]), z3.Not(s["lapsed"]))
    return z3.And(s["placed_v"], z3.Not(s["run_v"])), updates(
        ("run_v", YES), ("restarted", is_ended)
    )


@SPEC.invariant
def one_run(s: State) -> Expr:
    """The task never runs twice at a time."""
    return z3.Not(z3.And(s["run_w"], s["run_v"]))


@SPEC.invariant
def done_stays(s: State) -> Expr:
    """A task whose end was taken over is not started again."""
    return z3.Not(s["restarted"])


@SPEC.goal
def moved(s: State) -> Expr:
    """A task that was placed and never started runs on the other worker."""
    return z3.And(s["run_v"], s["placed_w"], z3.Not(s["lapsed"]))


@SPEC.goal
def inherited(s: State) -> Expr:
    """The new leader stores the end of a task that the former one started."""
    return z3.And(s["done"], s["heard_end"], s["epoch"] == NEW)
