"""Versions of the configuration at two entry instances.

The document has two parts, which makes lost updates and partly applied documents
visible. An instance receives versions by reading the table and by pushes, which may
be delayed for any time. A restart clears an instance's whole state. A change counts
as accepted from the time at which the operator is told so. A promise is a
time-limited guarantee of the only peer that it knows no newer document.
"""

from __future__ import annotations

import z3

from formal.bounded import NOW, Expr, Sort, Spec, State, Step, updates

INSTANCES = ("a", "b")
PEER = {"a": "b", "b": "a"}
EACH_INSTANCE = tuple((i,) for i in INSTANCES)
# Time for which a read or a promise confirms a document, and the time after which no
# instance serves without an accepted change. From docs/design.md, question 3 and
# invariant 11.
FRESH_MS = 5_000
IN_FORCE_MS = 8_000
FIRST_VERSION = 1
LAST_VERSION = 3
# Progress of an instance's outstanding change.
IDLE, SENT, APPLIED, REJECTED, UNKNOWN = range(5)
# Progress of a read or of a request for a promise, after IDLE.
ASKED, RESPONDED = 1, 2

INTS = (
    *("applied", "applied_p", "applied_q", "highest", "fresh_until"),
    *("reading", "read_asked", "read_version", "read_p", "read_q"),
    *("write", "write_version", "write_p", "write_q"),
    *("asking", "promise_asked", "promise_version", "promise_p", "promise_q"),
    *("push_version", "push_p", "push_q"),
)
BOOLS = ("loaded", "late", "pushed")

SPEC = Spec(
    "config",
    {
        # The document in the table, and the number of accepted changes by part.
        **dict.fromkeys(("version", "p", "q", "changes_p", "changes_q"), Sort.INT),
        # The time at which an operator was told that version n is accepted.
        **{f"told_at_{n}": Sort.INT for n in range(2, LAST_VERSION + 1)},
        **{f"{name}_{i}": Sort.INT for name in INTS for i in INSTANCES},
        **{f"{name}_{i}": Sort.BOOL for name in BOOLS for i in INSTANCES},
    },
    clocks=("clock_a", "clock_b"),
)
NO_CAS = SPEC.mutation("configuration without compare-and-set", "no_change_lost")
ACCEPT_OLDER = SPEC.mutation("older version accepted", "never_reverts")
APPLY_PART = SPEC.mutation("document applied in part", "applied_whole")
COUNT_FROM_RESPONSE = SPEC.mutation("freshness counted from the answer", "in_force")
PROMISE_BEFORE_READ = SPEC.mutation("restarted instance promises", "in_force")
CONFIRM_BEFORE_READ = SPEC.mutation(
    "restarted instance confirmed by a promise", "in_force"
)
APPLY_AT_NEXT_READ = SPEC.mutation("writer applies at its next read", "in_force")
PROMISE_WITHOUT_DOCUMENT = SPEC.mutation("promise without the document", "in_force")
NOT_TOLD = -1


@SPEC.initial
def initial(s: State) -> Expr:
    """Both instances have applied and confirmed the first version.

    Instance a may just have told its operator that the next version is accepted. A
    push of the first version to instance a may be in flight.
    """
    changed = z3.And(s["version"] == FIRST_VERSION + 1, s["told_at_2"] == 0)
    unchanged = z3.And(s["version"] == FIRST_VERSION, s["told_at_2"] == NOT_TOLD)
    parts = [z3.Or(changed, unchanged), s["q"] == 0, s["changes_q"] == 0]
    parts += [s["applied", "a"] == s["version"], s["applied", "b"] == FIRST_VERSION]
    for n in ("p", "changes_p", "applied_p_a"):
        parts.append(s[n] == s["version"] - FIRST_VERSION)
    parts.append(s["applied_p", "b"] == 0)
    parts.append(s["told_at_3"] == NOT_TOLD)
    for i in INSTANCES:
        parts += [s["highest", i] == s["applied", i], s["applied_q", i] == 0]
        parts += [s["fresh_until", i] == FRESH_MS, s["loaded", i]]
        parts += [s[n, i] == IDLE for n in ("reading", "write", "asking")]
        parts += [z3.Not(s["late", i])]
    parts += [s["push_version", "a"] == FIRST_VERSION, z3.Not(s["pushed", "b"])]
    parts += [s["push_p", "a"] == 0, s["push_q", "a"] == 0]
    return z3.And(*parts)


def serves(s: State, i: str) -> Expr:
    """Return whether an instance does work that requires a current configuration."""
    return z3.And(s["applied", i] > 0, s["clock", i] < s["fresh_until", i])


def _apply_if_newer(
    s: State, m: str, i: str, source: str, valid: Expr | bool = True
) -> dict[str, Expr]:
    """Apply a received document as a whole if it is newer than the applied one."""
    version = s[f"{source}_version", i]
    newer = z3.And(valid, z3.Or(m == ACCEPT_OLDER, version > s["applied", i]))
    higher = z3.And(newer, version > s["highest", i])
    highest = z3.If(higher, version, s["highest", i])
    changes = updates(
        (("applied", i), z3.If(newer, version, s["applied", i])),
        (("applied_p", i), z3.If(newer, s[f"{source}_p", i], s["applied_p", i])),
        (("applied_q", i), z3.If(newer, s[f"{source}_q", i], s["applied_q", i])),
        (("highest", i), highest),
    )
    if m == APPLY_PART:
        del changes[f"applied_q_{i}"]
    return changes


def _extended_freshness(s: State, i: str, confirmed: Expr, counted_from: Expr) -> Expr:
    until = counted_from + FRESH_MS
    later = z3.And(confirmed, until > s["fresh_until", i])
    return z3.If(later, until, s["fresh_until", i])


@SPEC.action(*EACH_INSTANCE)
def read_asked(s: State, _m: str, i: str) -> Step:
    """An instance sends a read of the document to the table."""
    return s["reading", i] == IDLE, updates(
        (("reading", i), ASKED), (("read_asked", i), s["clock", i])
    )


@SPEC.action(*EACH_INSTANCE)
def read_served(s: State, _m: str, i: str) -> Step:
    """The table serves the read; the response is in flight."""
    return s["reading", i] == ASKED, updates(
        (("reading", i), RESPONDED),
        (("read_version", i), s["version"]),
        (("read_p", i), s["p"]),
        (("read_q", i), s["q"]),
    )


@SPEC.action(*EACH_INSTANCE)
def read_answered(s: State, m: str, i: str) -> Step:
    """The response confirms the configuration as of the time the read was sent."""
    changes = _apply_if_newer(s, m, i, "read")
    counted_from = s["clock", i] if m == COUNT_FROM_RESPONSE else s["read_asked", i]
    # A change of unknown outcome can no longer be applied once the row has
    # reached the version that the change would write.
    resolved = z3.And(
        s["write", i] == UNKNOWN, s["read_version", i] >= s["write_version", i]
    )
    changes.update(
        updates(
            (("reading", i), IDLE),
            (("loaded", i), z3.BoolVal(True)),
            (("write", i), z3.If(resolved, IDLE, s["write", i])),
            (
                ("fresh_until", i),
                _extended_freshness(s, i, z3.BoolVal(True), counted_from),
            ),
        )
    )
    return s["reading", i] == RESPONDED, changes


@SPEC.action(*EACH_INSTANCE)
def change_sent(s: State, _m: str, i: str) -> Step:
    """The operator at instance a changes part p; the operator at b changes part q."""
    ready = z3.And(s["write", i] == IDLE, s["applied", i] > 0)
    # Bounds the number of versions.
    ready = z3.And(ready, s["version"] < LAST_VERSION)
    return ready, updates(
        (("write", i), SENT),
        (("write_version", i), s["applied", i] + 1),
        (("write_p", i), s["applied_p", i] + int(i == "a")),
        (("write_q", i), s["applied_q", i] + int(i == "b")),
    )


@SPEC.action(*EACH_INSTANCE)
def change_applied(s: State, m: str, i: str) -> Step:
    """The table applies or rejects a change, in time or late."""
    accepted = s["version"] + 1 == s["write_version", i]
    if m == NO_CAS:
        accepted = s["version"] < LAST_VERSION
    in_time = s["write", i] == SENT
    outcome = z3.If(accepted, APPLIED, REJECTED)
    counter = "changes_p" if i == "a" else "changes_q"
    return z3.Or(in_time, s["late", i]), updates(
        (("write", i), z3.If(in_time, outcome, s["write", i])),
        (("late", i), z3.And(in_time, s["late", i])),
        ("version", s["version"] + z3.If(accepted, 1, 0)),
        ("p", z3.If(accepted, s["write_p", i], s["p"])),
        ("q", z3.If(accepted, s["write_q", i], s["q"])),
        (counter, s[counter] + z3.If(accepted, 1, 0)),
    )


@SPEC.action(*EACH_INSTANCE)
def change_answered(s: State, m: str, i: str) -> Step:
    """The writer applies its accepted change and tells the operator."""
    accepted = s["write", i] == APPLIED
    changes = (
        {} if m == APPLY_AT_NEXT_READ else _apply_if_newer(s, m, i, "write", accepted)
    )
    changes[f"write_{i}"] = z3.IntVal(IDLE)
    for n in range(2, LAST_VERSION + 1):
        told = z3.And(accepted, s["write_version", i] == n)
        changes[f"told_at_{n}"] = z3.If(told, s[NOW], s[f"told_at_{n}"])
    return z3.Or(accepted, s["write", i] == REJECTED), changes


@SPEC.action(*EACH_INSTANCE)
def change_answer_lost(s: State, _m: str, i: str) -> Step:
    """The outcome is unknown; a change that is in flight may be applied late."""
    waiting = z3.Or(*(s["write", i] == w for w in (SENT, APPLIED, REJECTED)))
    ready = z3.And(waiting, z3.Not(s["late", i]))
    return ready, updates((("write", i), UNKNOWN), (("late", i), s["write", i] == SENT))


@SPEC.action(*EACH_INSTANCE)
def push_sent(s: State, _m: str, i: str) -> Step:
    """An instance pushes its document to the peer."""
    return z3.And(s["applied", i] > 0, z3.Not(s["pushed", PEER[i]])), updates(
        (("pushed", PEER[i]), z3.BoolVal(True)),
        (("push_version", PEER[i]), s["applied", i]),
        (("push_p", PEER[i]), s["applied_p", i]),
        (("push_q", PEER[i]), s["applied_q", i]),
    )


@SPEC.action(*EACH_INSTANCE)
def push_received(s: State, m: str, i: str) -> Step:
    """A push is applied if it is newer; it does not extend the freshness."""
    changes = _apply_if_newer(s, m, i, "push")
    changes[f"pushed_{i}"] = z3.BoolVal(False)
    return s["pushed", i], changes


@SPEC.action(*EACH_INSTANCE)
def promise_asked(s: State, _m: str, i: str) -> Step:
    """An instance that can't reach the table asks its peer for a promise."""
    return s["asking", i] == IDLE, updates(
        (("asking", i), ASKED), (("promise_asked", i), s["clock", i])
    )


@SPEC.action(*EACH_INSTANCE)
def promise_given(s: State, m: str, i: str) -> Step:
    """The peer of instance i promises if it has read the table since its start."""
    peer = PEER[i]
    known = s["applied", peer] > 0 if m == PROMISE_BEFORE_READ else s["loaded", peer]
    return z3.And(s["asking", i] == ASKED, known), updates(
        (("asking", i), RESPONDED),
        (("promise_version", i), s["applied", peer]),
        (("promise_p", i), s["applied_p", peer]),
        (("promise_q", i), s["applied_q", peer]),
    )


@SPEC.action(*EACH_INSTANCE)
def promise_received(s: State, m: str, i: str) -> Step:
    """A promise confirms the newer document if the instance has read the table."""
    changes = (
        {} if m == PROMISE_WITHOUT_DOCUMENT else _apply_if_newer(s, m, i, "promise")
    )
    known = z3.BoolVal(True) if m == CONFIRM_BEFORE_READ else s["loaded", i]
    until = _extended_freshness(s, i, known, s["promise_asked", i])
    changes.update(updates((("asking", i), IDLE), (("fresh_until", i), until)))
    return s["asking", i] == RESPONDED, changes


@SPEC.action(*EACH_INSTANCE)
def restarted(s: State, _m: str, i: str) -> Step:
    """An instance restarts without state; its pending change may still be applied."""
    return z3.Not(s["late", i]), updates(
        *(((n, i), 0) for n in ("applied", "applied_p", "applied_q", "fresh_until")),
        *(((n, i), IDLE) for n in ("reading", "asking", "write")),
        (("loaded", i), z3.BoolVal(False)),
        (("late", i), s["write", i] == SENT),
    )


@SPEC.invariant
def no_change_lost(s: State) -> Expr:
    """The document contains every accepted change."""
    return z3.And(s["p"] == s["changes_p"], s["q"] == s["changes_q"])


@SPEC.invariant
def never_reverts(s: State) -> Expr:
    """An instance never serves with an older version than it had before."""
    return z3.And(
        *(
            z3.Implies(serves(s, i), s["applied", i] >= s["highest", i])
            for i in INSTANCES
        )
    )


@SPEC.invariant
def applied_whole(s: State) -> Expr:
    """Each version adds one change; an instance has every change up to its version."""
    return z3.And(
        *(
            z3.Implies(
                s["applied", i] > 0,
                s["applied_p", i] + s["applied_q", i]
                == s["applied", i] - FIRST_VERSION,
            )
            for i in INSTANCES
        )
    )


@SPEC.invariant
def in_force(s: State) -> Expr:
    """No instance serves with a version older than one accepted over 8 s ago."""
    parts = []
    for i in INSTANCES:
        for n in range(2, LAST_VERSION + 1):
            told = s[f"told_at_{n}"] != NOT_TOLD
            overdue = z3.And(told, s[NOW] > s[f"told_at_{n}"] + IN_FORCE_MS)
            parts.append(z3.Not(z3.And(serves(s, i), s["applied", i] < n, overdue)))
    return z3.And(*parts)


@SPEC.goal
def changed_twice(s: State) -> Expr:
    """The document contains both operators' changes and instance a applied them."""
    changed = z3.And(s["changes_p"] == 1, s["changes_q"] == 1)
    return z3.And(changed, s["applied", "a"] == LAST_VERSION, serves(s, "a"))


@SPEC.goal
def change_in_force(s: State) -> Expr:
    """Both instances serve with a change that was reported as accepted."""
    applied = [s["applied", i] == FIRST_VERSION + 1 for i in INSTANCES]
    told = s["told_at_2"] != NOT_TOLD
    return z3.And(*applied, told, serves(s, "a"), serves(s, "b"))


@SPEC.goal
def confirmed_again(s: State) -> Expr:
    """An instance serves after 8 s because a read or a promise confirmed it."""
    return z3.And(s[NOW] > IN_FORCE_MS, serves(s, "a"))
