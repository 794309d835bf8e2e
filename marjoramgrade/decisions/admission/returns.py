"""Remembers refused jobs, whose clients hand them in again under the same id.

The load is a wave of callers that were refused at about the same time and return. A job
counts from its first submission, and jobs that came earlier go first.
"""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.admission.backlog import REFRESH_MS, Amounts

# Clients return this long after a refusal, also if `Retry-After` says later.
RETURN_MS = 3_000
# Another second may pass until an attempt arrives over a slow link, and as much in the
# client.
RETURN_GRACE_MS = 2_000
# Refused jobs that are remembered: 100 submissions a second for the time of four
# further attempts, 3 s apart. A forgotten one counts as new. Each takes less than 1 KB.
MAX_REMEMBERED = 1_500


@attrs.frozen
class RefusedJob:
    """A job that was refused and may return.

    Attributes:
        job_id: Its id.
        scope: Its team and queue.
        first_ms: When it was first submitted.
        in_time_until_ms: When it must start to be in time.
        worth_until_ms: When it must start to have any value.
        refused_ms: When it was last refused.
        due_ms: When `Retry-After` lets it return.
        work: Its work, in resources times milliseconds.
    """

    job_id: str
    scope: tuple[str, str]
    first_ms: int
    in_time_until_ms: float
    worth_until_ms: float
    refused_ms: int
    due_ms: int
    work: Amounts

    @property
    def back_ms(self) -> int:
        """When it returns."""
        return min(self.due_ms, self.refused_ms + RETURN_MS)

    @property
    def forget_ms(self) -> int:
        """When it is no longer expected."""
        return max(self.due_ms, self.refused_ms + RETURN_MS) + RETURN_GRACE_MS


@attrs.define
class ReturningWork:
    """Work of refused jobs that came before another job.

    Attributes:
        on_time: Work of the jobs that can still be in time.
        late: Work of all jobs that can still have some value.
    """

    on_time: Amounts = attrs.field(factory=Amounts)
    late: Amounts = attrs.field(factory=Amounts)


@attrs.frozen
class _ArrivalOrder:
    """Work of the refused jobs of a scope, added up in the order of first arrival.

    Attributes:
        taken_ms: When it was added up.
        before_by_id: Work before each job.
        total: Work of all jobs.
    """

    taken_ms: int
    before_by_id: dict[str, ReturningWork]
    total: ReturningWork


@attrs.define
class RefusedJobs:
    """The refused jobs that may return, each scope in the order of first arrival."""

    _scope_by_id: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    _job_by_id_by_scope: dict[tuple[str, str], dict[str, RefusedJob]] = attrs.field(
        factory=dict
    )

    _order_by_scope: dict[tuple[str, str], _ArrivalOrder] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._scope_by_id)

    def find(self, job_id: str, now_ms: int) -> RefusedJob | None:
        """Return a job if it was refused and is still expected."""
        scope = self._scope_by_id.get(job_id)
        if scope is None:
            return None
        found = self._job_by_id_by_scope[scope][job_id]
        return found if now_ms <= found.forget_ms else None

    def record(self, refused: RefusedJob) -> None:
        """Remember a refused job; one that returned keeps its place."""
        if self._scope_by_id.get(refused.job_id, refused.scope) != refused.scope:
            self.remove(refused.job_id)
        self._scope_by_id[refused.job_id] = refused.scope
        by_id = self._job_by_id_by_scope.setdefault(refused.scope, {})
        by_id[refused.job_id] = refused
        if len(self._scope_by_id) > MAX_REMEMBERED:
            self._forget(next(iter(self._scope_by_id)))

    def remove(self, job_id: str) -> None:
        """Forget a job, whose work no longer comes before that of others."""
        scope = self._scope_by_id.get(job_id)
        if scope is not None:
            self._order_by_scope.pop(scope, None)
            self._forget(job_id)

    def _forget(self, job_id: str) -> None:
        scope = self._scope_by_id.pop(job_id, None)
        if scope is not None:
            by_id = self._job_by_id_by_scope[scope]
            del by_id[job_id]
            if not by_id:
                del self._job_by_id_by_scope[scope]

    def forget_expired(self, now_ms: int) -> None:
        """Forget the jobs that are no longer expected."""
        for by_id in list(self._job_by_id_by_scope.values()):
            for refused in list(by_id.values()):
                if now_ms > refused.forget_ms:
                    self.remove(refused.job_id)
        # The orders of scopes without refused jobs are of no more use.
        for scope in self._order_by_scope.keys() - self._job_by_id_by_scope.keys():
            del self._order_by_scope[scope]

    def work_before(
        self, scope: tuple[str, str], job_id: str, now_ms: int
    ) -> ReturningWork:
        """Return the work of the refused jobs of a scope that came before a job.

        Adds up the jobs of the scope only if one of them was accepted, or after
        `REFRESH_MS`: those that were refused since then don't return sooner.
        """
        order = self._order_by_scope.get(scope)
        if order is None or now_ms - order.taken_ms >= REFRESH_MS:
            order = self._order_by_scope[scope] = self._add_up(scope, now_ms)
        return order.before_by_id.get(job_id, order.total)

    def _add_up(self, scope: tuple[str, str], now_ms: int) -> _ArrivalOrder:
        on_time, late = Amounts(), Amounts()
        before_by_id = {}
        for job_id, refused in self._job_by_id_by_scope.get(scope, {}).items():
            before_by_id[job_id] = ReturningWork(on_time.scaled(1), late.scaled(1))
            back_ms = max(refused.back_ms, now_ms)
            if now_ms <= refused.forget_ms and back_ms <= refused.worth_until_ms:
                late.add_amounts(refused.work)
                if back_ms <= refused.in_time_until_ms:
                    on_time.add_amounts(refused.work)
        return _ArrivalOrder(now_ms, before_by_id, ReturningWork(on_time, late))
