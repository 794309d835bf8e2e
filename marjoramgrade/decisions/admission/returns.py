"""Remembers refused jobs, whose clients hand them in again under the same id.

The load is a wave of callers that were refused at about the same time and return. A job
counts from its first submission, and jobs that came earlier go first.
"""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.admission.backlog import Amounts

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


@attrs.define
class RefusedJobs:
    """The refused jobs that may return, each scope in the order of first arrival."""

    _scope_by_id: dict[str, tuple[str, str]] = attrs.field(factory=dict)
    _job_by_id_by_scope: dict[tuple[str, str], dict[str, RefusedJob]] = attrs.field(
        factory=dict
    )

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
            self.remove(next(iter(self._scope_by_id)))

    def remove(self, job_id: str) -> None:
        """Forget a job."""
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

    def work_before(
        self, scope: tuple[str, str], job_id: str, now_ms: int
    ) -> ReturningWork:
        """Return the work of the refused jobs of a scope that came before a job."""
        before = ReturningWork()
        for refused in self._job_by_id_by_scope.get(scope, {}).values():
            if refused.job_id == job_id:
                break
            back_ms = max(refused.back_ms, now_ms)
            if now_ms <= refused.forget_ms and back_ms <= refused.worth_until_ms:
                before.late.add_amounts(refused.work)
                if back_ms <= refused.in_time_until_ms:
                    before.on_time.add_amounts(refused.work)
        return before
