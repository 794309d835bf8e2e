"""Gives the tasks whose turn has come to workers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator, Mapping

import attrs

from marjoramgrade.decisions.advisorchannels import AdvisorChannels
from marjoramgrade.decisions.stepactions import AskAdvice
from marjoramgrade.decisions.stepplacement import choose_worker
from marjoramgrade.decisions.steppreemption import Preemption
from marjoramgrade.decisions.steppriority import STEP_ORDERS, StepOrder, WaitingStep
from marjoramgrade.decisions.stepprogress import JobProgress, StepProgress
from marjoramgrade.decisions.stepstate import StepState
from marjoramgrade.decisions.stepworkers import WorkerState
from marjoramgrade.decisions.tickets import Ticket, TicketCache

# Workers that one call for advice names at most; each costs time.
MAX_WORKERS_PER_CALL = 30


@attrs.define
class Planner:
    """Plans the starts of one leader.

    Attributes:
        state: Jobs and workers.
        order: In which order steps get room.
        channels: Calls to the placement advisor.
        waiting_by_reason: Steps that the last plan left waiting, by queue and reason.
    """

    state: StepState
    channels: AdvisorChannels
    order: StepOrder = STEP_ORDERS.get("worth")
    waiting_by_reason: Counter[str] = attrs.field(factory=Counter)

    def plan(self, now_ms: int, unix_ms: int) -> None:
        """Order every start that is possible now."""
        self.waiting_by_reason.clear()
        preemption = Preemption(self.state)
        for entry in self.order(self._collect(now_ms, unix_ms), now_ms):
            step = entry.step
            if step.step.gang:
                reason = self._place_gang(step, now_ms)
            else:
                reason = self._place_tasks(step, now_ms)
            if not reason:
                continue
            self.waiting_by_reason[f"{step.job.queue.name}:{reason}"] += 1
            if reason in ("no_permitted_worker", "no_room"):
                self._ask_advice(step, now_ms)
            if entry.is_on_time(now_ms):
                self._make_room(preemption, step, reason, now_ms)

    def apply_advice(
        self, asked: AskAdvice, text_by_worker: Mapping[str, str], until_ms: int
    ) -> None:
        """Take over the advisor's answer.

        Args:
            asked: The question.
            text_by_worker: The tickets of the workers that may run the step.
            until_ms: End of their validity.
        """
        book = self._tickets_of(asked)
        if book is None:
            return
        tickets = {}
        for worker_id, text in text_by_worker.items():
            worker = self.state.worker_by_id.get(worker_id)
            if worker is not None:
                born_unix_ms = worker.worker.born_unix_ms
                tickets[worker_id] = Ticket(text, born_unix_ms, until_ms)
        book.record(asked.worker_ids, tickets)

    def record_advice_failure(
        self, asked: AskAdvice, *, is_reached: bool, now_ms: int
    ) -> None:
        """Note that no advice came.

        Args:
            asked: The question.
            is_reached: Whether the advisor was reached; if not, the next plan asks
                through another instance.
            now_ms: The time.
        """
        book = self._tickets_of(asked)
        if book is None:
            return
        if is_reached:
            book.failed(now_ms)
        else:
            book.record_not_reached()

    def _tickets_of(self, asked: AskAdvice) -> TicketCache | None:
        progress = self.state.job_by_id.get(asked.job_id)
        steps = progress and progress.steps_by_occurrence.get(asked.occurrence)
        return steps[asked.step].tickets if steps else None

    def eligible(self, step: StepProgress, now_ms: int) -> list[WorkerState]:
        """Return the workers that may run a step, whatever room they have."""
        return [
            worker
            for worker in self.state.worker_by_id.values()
            if self._is_eligible(step, worker, now_ms)
        ]

    def _is_eligible(
        self, step: StepProgress, worker: WorkerState, now_ms: int
    ) -> bool:
        label = step.step.required_label
        return (
            worker.worker.pool == step.job.queue.pool
            and worker.accepts_work(now_ms)
            and worker.worker.zone not in self.state.evacuated_zones
            and (not label or label in worker.worker.labels)
        )

    def permitted(self, step: StepProgress, now_ms: int) -> list[WorkerState]:
        """Return the eligible workers for which no ticket is missing."""
        if step.job.queue.advice is None:
            return self.eligible(step, now_ms)
        # A step has tickets for a few workers of many.
        known = self.state.worker_by_id
        return [
            worker
            for worker in map(known.get, step.tickets.ticket_by_worker)
            if worker is not None
            and self._is_eligible(step, worker, now_ms)
            and step.tickets.ticket_for(
                worker.worker.worker_id, worker.worker.born_unix_ms, now_ms
            )
        ]

    def candidates(
        self, step: StepProgress, index: int, permitted: list[WorkerState], now_ms: int
    ) -> list[WorkerState]:
        """Return the permitted workers with room for a task.

        Workers on which the task did badly are left out as long as there are others.
        """
        need, most = step.step.resources, step.step.max_per_worker
        taken = {run.worker_id for run in step.runs_by_index.get(index, ())}
        fitting = [
            worker
            for worker in permitted
            if worker.has_capacity(need, uses_spare=step.step.uses_spare)
            and worker.worker.worker_id not in taken
            and (not most or step.count_runs_on(worker.worker.worker_id) < most)
            and worker.suspicion.allows(now_ms, len(worker.run_by_task))
        ]
        bad = step.avoided_workers_by_index.get(index, set())
        return [w for w in fitting if w.worker.worker_id not in bad] or fitting

    def place_task(
        self, step: StepProgress, index: int, permitted: list[WorkerState], now_ms: int
    ) -> bool:
        """Order the start of one task if a worker has room."""
        fitting = self.candidates(step, index, permitted, now_ms)
        worker = choose_worker(step, fitting)
        if worker is None:
            return False
        run = self.state.next_run_number(step, index)
        self.state.place(step, index, worker, run, now_ms)
        return True

    def is_within_team_limit(self, step: StepProgress, tasks: int = 1) -> bool:
        """Whether the team's limit leaves room for more tasks of a step."""
        need = step.step.resources.scaled(tasks, 1)
        return self.state.usage.has_capacity(
            step.job.job.team, need, self.state.config.team_by_name
        )

    def _collect(self, now_ms: int, unix_ms: int) -> list[WaitingStep]:
        return [
            self._describe(step, now_ms, unix_ms)
            for progress in self.state.open_job_by_id.values()
            if not progress.state.is_final
            for step in self._iter_waiting(progress, now_ms, unix_ms)
        ]

    @staticmethod
    def _iter_waiting(
        progress: JobProgress, now_ms: int, unix_ms: int
    ) -> Iterator[StepProgress]:
        for step in progress.iter_due_steps(now_ms, unix_ms):
            if step.has_waiting:
                yield step

    def _describe(self, step: StepProgress, now_ms: int, unix_ms: int) -> WaitingStep:
        progress = step.job
        queue = progress.queue
        average_ms = self.state.durations.expected_ms(queue.name, step.step.estimate_ms)
        whole = max(progress.chain_length(i) for i in range(len(progress.job.steps)))
        due_unix_ms = progress.due_unix_ms(step.occurrence)
        began_ms = progress.accepted_ms
        if due_unix_ms:
            began_ms = max(began_ms, now_ms - (unix_ms - due_unix_ms))
        objective_ms = (
            began_ms + queue.stretch * whole * average_ms + queue.objective_ms
        )
        remaining_ms = progress.chain_length(step.index) * average_ms
        return WaitingStep(step, objective_ms, remaining_ms)

    def _make_room(
        self, preemption: Preemption, step: StepProgress, reason: str, now_ms: int
    ) -> None:
        if reason == "team_limit":
            preemption.free_team_capacity(step, now_ms)
        elif reason == "no_room":
            preemption.free_worker_capacity(step, self.permitted(step, now_ms), now_ms)

    def _place_tasks(self, step: StepProgress, now_ms: int) -> str:
        """Start as many tasks as possible; returns why others wait, or empty."""
        if not self.is_within_team_limit(step):
            return "team_limit"
        permitted = self.permitted(step, now_ms)
        if not permitted:
            return "no_permitted_worker"
        for index in list(step.iter_waiting()):
            if not self.is_within_team_limit(step):
                return "team_limit"
            if not self.place_task(step, index, permitted, now_ms):
                return "no_room"
        return ""

    def _place_gang(self, step: StepProgress, now_ms: int) -> str:
        """Start all tasks of a gang at once, or none; returns why it waits."""
        if step.runs_by_index:
            return "gang_ends"
        if not self.is_within_team_limit(step, step.step.count):
            return "team_limit"
        permitted = self.permitted(step, now_ms)
        if not permitted:
            return "no_permitted_worker"
        chosen = self._reserve_gang(step, permitted, now_ms)
        if chosen is None:
            return "no_room"
        run = self.state.next_run_number(step, 0)
        for index, worker in enumerate(chosen):
            self.state.place(step, index, worker, run, now_ms)
        return ""

    def _reserve_gang(
        self, step: StepProgress, permitted: list[WorkerState], now_ms: int
    ) -> list[WorkerState] | None:
        """Return a worker for each task of a gang, or None if they do not fit."""
        need, spare = step.step.resources, step.step.uses_spare
        most = step.step.max_per_worker or step.step.count
        rooms: list[WorkerState] = []
        for worker in permitted:
            if worker.suspicion.probing:
                continue
            copy = attrs.evolve(worker)
            while len(rooms) < step.step.count:
                taken = sum(1 for room in rooms if room is worker)
                if taken >= most or not copy.has_capacity(need, uses_spare=spare):
                    break
                if spare:
                    copy.spare_used = copy.spare_used + need
                else:
                    copy.used = copy.used + need
                rooms.append(worker)
        if len(rooms) < step.step.count:
            return None
        if step.step.same_rack:
            rooms = self._prefer_one_rack(rooms, step.step.count)
        return rooms[: step.step.count]

    @staticmethod
    def _prefer_one_rack(rooms: list[WorkerState], count: int) -> list[WorkerState]:
        by_rack: dict[str, list[WorkerState]] = {}
        for worker in rooms:
            by_rack.setdefault(worker.worker.rack, []).append(worker)
        whole = [found for found in by_rack.values() if len(found) >= count]
        return min(whole, key=len) if whole else rooms

    def _ask_advice(self, step: StepProgress, now_ms: int) -> None:
        advice = step.job.queue.advice
        book = step.tickets
        if advice is None or book.is_pending or now_ms < book.next_call_ms:
            return
        if self.channels.choose(math.ceil(advice.base_ms), now_ms) is None:
            # No line has time even for the shortest call.
            return
        need, spare = step.step.resources, step.step.uses_spare
        without = [
            worker
            for worker in self.eligible(step, now_ms)
            if not book.ticket_for(
                worker.worker.worker_id, worker.worker.born_unix_ms, now_ms
            )
            and worker.has_capacity(need, uses_spare=spare)
        ]
        without.sort(key=lambda worker: -worker.free_cpu_millis)
        asked = book.workers_to_ask(w.worker.worker_id for w in without)[
            :MAX_WORKERS_PER_CALL
        ]
        if not asked:
            return
        decide_ms = math.ceil(advice.base_ms + advice.per_worker_ms * len(asked))
        instance_id = self.channels.choose(decide_ms, now_ms)
        if instance_id is None:
            return
        self.channels.record_call(instance_id, decide_ms)
        book.is_pending = True
        job_id, occurrence, index = step.key
        self.state.add_action(
            AskAdvice(job_id, occurrence, index, tuple(asked), instance_id, decide_ms)
        )
