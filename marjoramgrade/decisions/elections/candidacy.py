"""Paces the candidates for the lead by the number of instances.

The load is a fleet of hundreds of instances that lose their leader, or start, at the
same time. Each then reads the rows of the leadership until it hears a leader. The reads
and the takeover attempts of all instances must fit the limits of the store, or the
calls of the new leader fail and it is replaced in turn. Up to `SMALL_FLEET` instances
fit them without any pacing.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs

# Number of instances up to which every instance may act at the shortest interval: 40
# instances that read every 50 ms use 800 of the store's 6,000 reads a second.
SMALL_FLEET = 40
# Shortest interval between two reads of the leadership by one instance.
MIN_READ_INTERVAL_MS = 50
# Shortest interval of an instance that has not lost a leader: it has just started and
# waits to hear the present one, or for the list of members. All instances of a fleet
# may be in this state, and do not know yet how many they are.
FIRST_READ_INTERVAL_MS = 250
# Reads a second that all instances may use together to look for a leader: what a
# small fleet uses. The rest of the store's 6,000 is for the leader and for callers.
READ_BUDGET_PER_S = SMALL_FLEET * 1_000 // MIN_READ_INTERVAL_MS
# Each candidate delays its takeover by this time multiplied by its rank, so that
# usually only the first candidate tries.
RANK_DELAY_MS = 30
# A candidate whose strength is below this share of the strongest one's waits longer. A
# weak instance that took the lead first could not read the state of 1,043 jobs over
# its link within 2 s, and nobody led meanwhile.
MIN_STRENGTH_SHARE = 0.6
WEAK_DELAY_MS = 250
# The candidates that read at the shortest interval in a fleet of any size. In a small
# fleet, all candidates beyond them wait equally long.
MAX_RANK = 10
# Further delay for each instance beyond a small fleet, over which the candidates
# beyond MAX_RANK are spread. A transaction takes the partition 8 ms, failed ones too.
SPREAD_PER_MEMBER_MS = 10
# A newly started instance waits this long for the list of members before the first
# takeover of a fleet, and longer by WAIT_PER_MEMBER_MS for each instance beyond a small
# fleet. The registrations share a partition that takes 8 ms for each of them.
MEMBER_LIST_WAIT_MS = 900
WAIT_PER_MEMBER_MS = 10
# The list of members counts as complete once it has not changed for this long: the next
# read of it, 400 ms later at first and up to 200 ms long, found the same.
MEMBER_LIST_SETTLED_MS = 600
# An instance that is not in the list yet is no candidate for the first takeover for
# this long: no other instance could connect to it or know its strength. The
# registrations of 300 instances take 2.4 s.
UNREGISTERED_WAIT_MS = 2_600
# Interval at which an instance asks all others whether they hear the leader, in a small
# fleet and for each further instance. Each round costs a call to every instance.
MAJORITY_CHECK_MS = 250
MAJORITY_CHECK_PER_MEMBER_MS = 50


class Candidate(Protocol):
    """What the order of the candidates depends on; see `Member` for the attributes."""

    @property
    def instance_id(self) -> str: ...  # noqa: D102
    @property
    def row_version(self) -> int: ...  # noqa: D102
    @property
    def strength(self) -> int: ...  # noqa: D102


@attrs.frozen
class Candidacy:
    """The place of an instance among the candidates for the lead.

    Attributes:
        rank: Number of candidates that try a takeover earlier.
        members: Number of known instances, this one included.
        is_weak: Whether a much stronger candidate is known.
    """

    rank: int = 0
    members: int = 1
    is_weak: bool = False

    @classmethod
    def from_members(
        cls, own: Candidate, members: Sequence[Candidate], leader_id: str
    ) -> Candidacy:
        """Return the place of an instance among the members.

        The strongest instances come first and, among equals, the newest: during a
        rolling restart the newest instance is the last to be stopped again.

        Args:
            own: This instance, as it knows itself.
            members: The known members.
            leader_id: The leader to be replaced, which is no candidate.
        """

        def sort_key(member: Candidate) -> tuple[int, int, str]:
            return -member.strength, -member.row_version, member.instance_id

        listed = (m for m in members if m.instance_id == own.instance_id)
        own_key = sort_key(next(listed, own))
        others = [member for member in members if member.instance_id != leader_id]
        rank = sum(sort_key(member) < own_key for member in others)
        best = max((member.strength for member in others), default=own.strength)
        is_weak = own.strength < MIN_STRENGTH_SHARE * best
        return cls(rank, max(1, len(members)), is_weak)

    @property
    def is_paced(self) -> bool:
        """Whether other candidates act for this one as long as they can."""
        return self.members > SMALL_FLEET and self.rank >= MAX_RANK

    def read_interval_ms(self, has_lost_leader: bool) -> int:
        """Return the interval between two reads of the leadership.

        Args:
            has_lost_leader: Whether the instance looks for the successor of a leader
                that it heard or that has ended, or for the first leader of a fleet.
        """
        shortest_ms = self._shared_interval_ms
        return (
            shortest_ms if has_lost_leader else max(FIRST_READ_INTERVAL_MS, shortest_ms)
        )

    @property
    def _shared_interval_ms(self) -> int:
        if not self.is_paced:
            return MIN_READ_INTERVAL_MS
        left_per_s = READ_BUDGET_PER_S - MAX_RANK * 1_000 // MIN_READ_INTERVAL_MS
        interval_ms = (self.members - MAX_RANK) * 1_000 // left_per_s
        return max(MIN_READ_INTERVAL_MS, interval_ms)

    @property
    def takeover_delay_ms(self) -> int:
        """Time for which earlier candidates may take the lead instead."""
        delay_ms = min(self.rank, MAX_RANK) * RANK_DELAY_MS
        if self.is_weak:
            delay_ms += WEAK_DELAY_MS
        if not self.is_paced:
            return delay_ms
        spread_ms = (self.members - SMALL_FLEET) * SPREAD_PER_MEMBER_MS
        place = (self.rank - MAX_RANK) / (self.members - MAX_RANK)
        return delay_ms + int(place * spread_ms)

    @property
    def must_read_again(self) -> bool:
        """Whether to read the leadership again after the delay.

        Candidates that wait equally long would send a transaction each, which keeps the
        partition from the new leader. A read costs the partition nothing. The first
        candidates do without, since reads of a slow store take a tenth of a second.
        """
        return self.is_weak or self.rank >= MAX_RANK

    @property
    def majority_check_interval_ms(self) -> int:
        """Interval at which all instances are asked whether they hear the leader."""
        if not self.is_paced:
            return MAJORITY_CHECK_MS
        return self.members * MAJORITY_CHECK_PER_MEMBER_MS


def has_member_list(
    own: Candidate,
    members: Sequence[Candidate],
    started_ms: int,
    changed_ms: int,
    now_ms: int,
) -> bool:
    """Whether the list of members is complete enough for the first takeover.

    A candidate that knows only some of the others would lead although a stronger one
    starts with it, and would release the lead again soon.

    Args:
        own: This instance, as it knows itself.
        members: The known members.
        started_ms: When this instance started.
        changed_ms: When the list changed last.
        now_ms: Current time.
    """
    running_ms = now_ms - started_ms
    is_registered = any(
        member.instance_id == own.instance_id and member.row_version
        for member in members
    )
    if not is_registered:
        return running_ms >= UNREGISTERED_WAIT_MS
    longest_ms = MEMBER_LIST_WAIT_MS
    longest_ms += max(0, len(members) - SMALL_FLEET) * WAIT_PER_MEMBER_MS
    return now_ms - changed_ms >= MEMBER_LIST_SETTLED_MS or running_ms >= longest_ms
