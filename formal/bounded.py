"""Specifications as guarded actions, checked to a bounded depth and by induction.

A step is one action followed by any passage of time. A process may therefore pause
for any time between two of its steps, and every interleaving is covered.

A mutation replaces one rule of a specification by a faulty one. The check of the
invariant that the rule protects must then fail.
"""

from __future__ import annotations

import enum
import time
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import z3

from marjoramgrade.decisions.ownership import DRIFT_MARGIN_MS

# Each clock is ahead of the common time by at most this much, so the lengths that
# two clocks measure for one interval differ by at most DRIFT_MARGIN_MS.
SKEW_MS = DRIFT_MARGIN_MS // 2
NOW = "now"

Expr = Any
# Guard of an action and the next values of the variables that it changes, by name.
Step = tuple[Expr, Mapping[str, Expr]]


class Sort(enum.Enum):
    """The z3 sort of a state variable."""

    INT = "int"
    BOOL = "bool"


@attrs.frozen
class State:
    """The variables of one state; `s["until", "a"]` is the variable `until_a`."""

    expression_by_name: Mapping[str, Expr]

    def __getitem__(self, key: str | tuple[str, ...]) -> Expr:
        return self.expression_by_name[variable_name(key)]


def variable_name(key: str | tuple[str, ...]) -> str:
    """Return the variable name for a key."""
    return key if isinstance(key, str) else "_".join(key)


def updates(*pairs: tuple[str | tuple[str, ...], Expr]) -> dict[str, Expr]:
    """Return the next values by variable name."""
    return {variable_name(key): value for key, value in pairs}


class Verdict(enum.Enum):
    """The verdict of a check.

    Attributes:
        HOLDS: No run up to the depth violates an invariant.
        VIOLATED: Some run up to the depth violates an invariant.
        REACHED: Some run up to the depth reaches the goal.
        UNREACHED: No run up to the depth reaches the goal.
        INDUCTIVE: The lemmas are inductive and imply every invariant.
        NOT_INDUCTIVE: The lemmas are not inductive or do not imply an invariant.
    """

    HOLDS = "holds"
    VIOLATED = "violated"
    REACHED = "reached"
    UNREACHED = "unreached"
    INDUCTIVE = "inductive"
    NOT_INDUCTIVE = "not inductive"


@attrs.frozen
class Result:
    """The outcome of one check.

    Attributes:
        verdict: Verdict of the check.
        depth: Number of steps explored, or the length of the run that was found.
        seconds: Duration of the check.
        trace: Actions of the run that was found, each with the common time. If the
            lemmas are not inductive, the failed case comes first.
    """

    verdict: Verdict
    depth: int
    seconds: float
    trace: tuple[str, ...] = ()


@attrs.frozen
class Action:
    """An action bound to its arguments."""

    name: str
    function: Callable[..., Step]
    arguments: tuple[str, ...]

    def step(self, state: State, mutation: str) -> Step:
        """Return the guard and the updates in a state."""
        return self.function(state, mutation, *self.arguments)


@attrs.define
class Spec:
    """A specification whose parts are registered by decorators.

    Attributes:
        name: Name in the table of results.
        sort_by_name: Sort of each state variable, by name.
        clocks: Names of the variables that are clocks of processes, in ms.
        actions: The actions, one for each choice of arguments.
        init: Predicate of the initial states.
        invariants: Properties of every reachable state.
        goals: Properties of some reachable state.
        lemmas: Conjuncts of the inductive invariant.
        mutations: Name of the invariant that each mutation must violate, by mutation.
    """

    name: str
    sort_by_name: dict[str, Sort]
    clocks: tuple[str, ...]
    actions: list[Action] = attrs.field(factory=list)
    init: Callable[[State], Expr] = attrs.field(default=lambda _: True)
    invariants: dict[str, Callable[[State], Expr]] = attrs.field(factory=dict)
    goals: dict[str, Callable[[State], Expr]] = attrs.field(factory=dict)
    lemmas: dict[str, Callable[[State], Expr]] = attrs.field(factory=dict)
    mutations: dict[str, str] = attrs.field(factory=dict)

    def initial(self, function: Callable[[State], Expr]) -> Callable[[State], Expr]:
        """Register the predicate of the initial states."""
        self.init = function
        return function

    def action(self, *choices: tuple[str, ...]) -> Callable[..., Any]:
        """Register an action, once for each choice of arguments."""

        def register(function: Callable[..., Step]) -> Callable[..., Step]:
            for arguments in choices or ((),):
                name = " ".join((function.__name__, *arguments))
                self.actions.append(Action(name, function, arguments))
            return function

        return register

    def invariant(self, function: Callable[[State], Expr]) -> Callable[[State], Expr]:
        """Register a property of every reachable state."""
        self.invariants[function.__name__] = function
        return function

    def goal(self, function: Callable[[State], Expr]) -> Callable[[State], Expr]:
        """Register a property that some reachable state must have."""
        self.goals[function.__name__] = function
        return function

    def lemma(self, function: Callable[[State], Expr]) -> Callable[[State], Expr]:
        """Register a conjunct of the inductive invariant."""
        self.lemmas[function.__name__] = function
        return function

    def mutation(self, name: str, invariant: str) -> str:
        """Register a mutation and the invariant that it must violate."""
        self.mutations[name] = invariant
        return name

    def state(self, index: int) -> State:
        """Return fresh variables for the state after `index` steps."""
        constructor_by_sort = {Sort.INT: z3.Int, Sort.BOOL: z3.Bool}
        sort_by_name = {NOW: Sort.INT, **dict.fromkeys(self.clocks, Sort.INT)}
        sort_by_name.update(self.sort_by_name)
        return State(
            {
                name: constructor_by_sort[sort](f"{name}@{index}")
                for name, sort in sort_by_name.items()
            }
        )

    def clocks_valid(self, state: State) -> Expr:
        """Return the constraint that every clock is 0 to SKEW_MS ahead."""
        now = state[NOW]
        within_skew = [
            z3.And(state[c] >= now, state[c] <= now + SKEW_MS) for c in self.clocks
        ]
        return z3.And(now >= 0, *within_skew)

    def step(
        self, before: State, after: State, index: int, mutation: str
    ) -> tuple[Expr, list[Expr]]:
        """Return the transition relation and, for each action, whether it is chosen."""
        chosen = [z3.Bool(f"act{n}@{index}") for n in range(len(self.actions))]
        parts = [z3.PbEq([(flag, 1) for flag in chosen], 1)]
        writers: dict[str, list[Expr]] = {name: [] for name in self.sort_by_name}
        for flag, action in zip(chosen, self.actions, strict=True):
            guard, changes = action.step(before, mutation)
            parts.append(z3.Implies(flag, guard))
            for name, value in changes.items():
                parts.append(z3.Implies(flag, after[name] == value))
                writers[name].append(flag)
        for name, flags in writers.items():
            parts.append(z3.Or(after[name] == before[name], *flags))
        parts.extend(after[c] >= before[c] for c in (NOW, *self.clocks))
        parts.append(self.clocks_valid(after))
        return z3.And(*parts), chosen


def explore(
    spec: Spec, predicate: Callable[[State], Expr], depth: int, mutation: str
) -> tuple[int, tuple[str, ...]] | None:
    """Search all interleavings for a matching state, shortest runs first.

    Args:
        spec: The specification.
        predicate: Condition that a matching state satisfies.
        depth: Maximum number of steps.
        mutation: Active mutation; empty for none.

    Returns:
        Length and actions of a shortest run, or None if there is none.

    Raises:
        TimeoutError: z3 did not decide whether a run of some length exists.
    """
    solver = z3.SolverFor("QF_LIA")
    state = spec.state(0)
    solver.add(state[NOW] == 0, spec.clocks_valid(state), spec.init(state))
    states, flags = [state], []
    for length in range(depth + 1):
        target = z3.Bool(f"target@{length}")
        solver.add(z3.Implies(target, predicate(state)))
        answer = solver.check(target)
        if answer == z3.sat:
            return length, read_trace(spec, solver.model(), states, flags)
        if answer != z3.unsat:
            raise TimeoutError(
                f"{spec.name}: z3 returned neither sat nor unsat at depth {length}"
            )
        solver.add(z3.Not(predicate(state)))
        if length < depth:
            after = spec.state(length + 1)
            relation, chosen = spec.step(state, after, length, mutation)
            solver.add(relation)
            states.append(after)
            flags.append(chosen)
            state = after
    return None


def read_trace(
    spec: Spec, model: z3.ModelRef, states: list[State], flags: list[list[Expr]]
) -> tuple[str, ...]:
    """Return the actions of a run, each with the common time of the action."""
    lines = []
    for state, chosen in zip(states, flags, strict=False):
        at_ms = model.eval(state[NOW], model_completion=True)
        for flag, action in zip(chosen, spec.actions, strict=True):
            if z3.is_true(model.eval(flag)):
                lines.append(f"{at_ms} ms: {action.name}")
    return tuple(lines)


def check_invariant(spec: Spec, name: str, depth: int, mutation: str = "") -> Result:
    """Check that no run of up to `depth` steps violates an invariant."""
    if mutation and mutation not in spec.mutations:
        raise ValueError(f"{spec.name} has no mutation {mutation!r}")
    started = time.monotonic()
    invariant = spec.invariants[name]
    found = explore(spec, lambda s: z3.Not(invariant(s)), depth, mutation)
    seconds = time.monotonic() - started
    if found is None:
        return Result(Verdict.HOLDS, depth, seconds)
    return Result(Verdict.VIOLATED, found[0], seconds, found[1])


def check_all_invariants(spec: Spec, depth: int) -> Result:
    """Check all invariants of a specification in one search."""
    started = time.monotonic()
    found = explore(
        spec,
        lambda s: z3.Not(z3.And(*(check(s) for check in spec.invariants.values()))),
        depth,
        "",
    )
    seconds = time.monotonic() - started
    if found is None:
        return Result(Verdict.HOLDS, depth, seconds)
    return Result(Verdict.VIOLATED, found[0], seconds, found[1])


def check_goal(spec: Spec, name: str, depth: int) -> Result:
    """Check that some run of up to `depth` steps reaches a goal."""
    started = time.monotonic()
    found = explore(spec, spec.goals[name], depth, "")
    seconds = time.monotonic() - started
    if found is None:
        return Result(Verdict.UNREACHED, depth, seconds)
    return Result(Verdict.REACHED, found[0], seconds, found[1])


def check_induction(spec: Spec, mutation: str = "") -> Result:
    """Check that the lemmas are inductive and imply every invariant."""
    started = time.monotonic()
    before, after = spec.state(0), spec.state(1)
    relation, chosen = spec.step(before, after, 0, mutation)
    lemmas = z3.And(*(lemma(before) for lemma in spec.lemmas.values()))
    known = z3.And(spec.clocks_valid(before), lemmas)
    start = z3.And(before[NOW] == 0, spec.clocks_valid(before), spec.init(before))
    cases: list[tuple[str, Expr]] = []
    for name, lemma in spec.lemmas.items():
        cases.append((f"init: {name}", z3.And(start, z3.Not(lemma(before)))))
        cases.append((f"step: {name}", z3.And(known, relation, z3.Not(lemma(after)))))
    for name, invariant in spec.invariants.items():
        cases.append((f"implied: {name}", z3.And(known, z3.Not(invariant(before)))))
    for name, case in cases:
        solver = z3.SolverFor("QF_LIA")
        solver.add(case)
        if solver.check() != z3.unsat:
            taken = read_trace(spec, solver.model(), [before], [chosen])
            seconds = time.monotonic() - started
            return Result(Verdict.NOT_INDUCTIVE, 1, seconds, (name, *taken))
    return Result(Verdict.INDUCTIVE, 1, time.monotonic() - started)
