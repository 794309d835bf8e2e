"""Load generator: sends requests and jobs and classifies the outcome of each.

A client retries at another entry instance only if the protocol allows a retry: for
a request that did not run, for an idempotent request with an unknown outcome, and
for a job, which is sent again with the same id. `standins.audit` checks the outcomes.
"""

from __future__ import annotations

import asyncio
import enum
import itertools
import json
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import attrs
from tornado.httpclient import HTTPClientError, HTTPResponse
from tornado.simple_httpclient import HTTPTimeoutError

from standins.cell import Cell

# Deadline of an attempt; after it, a client tries another instance.
DEADLINE_MS = 2_500
# A response counts as lost if it arrives later than this after the deadline. On a
# busy machine, overloaded event loops respond seconds late, which is not a loss.
RESPONSE_GRACE_MS = 6_000
# A client makes no further attempt once this time has passed since its first one.
RETRY_WINDOW_MS = 9_000
POLL_INTERVAL_MS = 200
# The retry interval doubles from the first value to the second. Clients that retry
# at a short fixed interval overload the remaining instances: 300 waiting requests at
# 200 ms make 1,500 attempts per second.
FIRST_RETRY_MS = 100
MAX_RETRY_MS = 1_600


class Outcome(enum.Enum):
    """What a client knows about a request or a job.

    Attributes:
        DONE: It succeeded; for a submission, the job was accepted.
        NOT_RUN: It was refused, or no connection was made; it did not run.
        UNKNOWN: It may have run.
        FAILED: It ran, or the job ended, without success.
        LOST: A violation: no response, or a response that belongs to another
            request, or an accepted job that has not ended.
    """

    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    FAILED = "failed"
    LOST = "lost"


@attrs.define
class SentRequest:
    """A request and its outcome.

    Attributes:
        request_id: Id under which every attempt is sent.
        idempotent: Whether the request may be retried after an unknown outcome.
        body: Document to send; a backend server responds with the same document.
        outcome: Outcome after the last attempt.
        codes: Result code of each attempt.
    """

    request_id: str
    idempotent: bool
    body: dict[str, Any]
    outcome: Outcome = Outcome.LOST
    codes: list[str] = attrs.field(factory=list)

    def check_body(self, body: bytes) -> None:
        """Mark the request as lost if the response is not its own."""
        if json.loads(body) != self.body:
            self.codes.append("wrong_body")
            self.outcome = Outcome.LOST


@attrs.define
class SentJob:
    """A job and its outcome.

    Attributes:
        job_id: Id under which every attempt is sent.
        tasks: Number of tasks.
        outcome: Outcome of the submission; after `Load.wait_for_jobs`, of the job.
        codes: Result code of each attempt to submit the job.
    """

    job_id: str
    tasks: int
    outcome: Outcome = Outcome.LOST
    codes: list[str] = attrs.field(factory=list)


@attrs.frozen
class _Attempt:
    """The result of an attempt, as the protocol reports it."""

    outcome: Outcome
    code: str
    body: bytes = b""


@attrs.define
class Load:
    """Requests and jobs for one cell.

    Attributes:
        cell: The cell under load.
        team: Team of all requests and jobs.
        secret: Secret of the team's key.
        requests: Number of requests; every second one is not idempotent.
        jobs: Number of jobs.
        tasks_per_job: Tasks of each job.
        spread_ms: Time over which requests and jobs are sent, in ms.
        work_ms: Run time of a request in ms.
        run_ms: Run time of a task in ms.
        prefix: Beginning of the ids of requests and jobs.
        faulty_urls: URLs of entry instances that may fail to respond, because the
            test kills, freezes or disconnects them.
        sent_requests: Requests sent so far.
        sent_jobs: Jobs sent so far.
        workers: Counters of the workers after the run, by id.
    """

    cell: Cell
    team: str
    secret: str
    requests: int = 1_000
    jobs: int = 50
    tasks_per_job: int = 20
    spread_ms: int = 4_000
    work_ms: int = 5
    run_ms: int = 20
    prefix: str = "load"
    faulty_urls: set[str] = attrs.field(factory=set)
    sent_requests: list[SentRequest] = attrs.field(factory=list)
    sent_jobs: list[SentJob] = attrs.field(factory=list)
    workers: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Send everything and return when each request and job is classified."""
        started = time.monotonic()
        sends: list[Awaitable[None]] = []
        for number in range(self.requests):
            request = self._make_request(number)
            self.sent_requests.append(request)
            sends.append(self._send_when_due(started, number, self.requests, request))
        for number in range(self.jobs):
            job = SentJob(f"{self.prefix}-job-{number}", self.tasks_per_job)
            self.sent_jobs.append(job)
            sends.append(self._send_when_due(started, number, self.jobs, job))
        await asyncio.gather(*sends)

    async def wait_for_jobs(self, timeout_s: float = 25.0) -> None:
        """Wait until the accepted jobs end; those open after `timeout_s` are lost."""
        accepted = [job for job in self.sent_jobs if job.outcome is Outcome.DONE]
        for job in accepted:
            job.outcome = Outcome.LOST
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            listed = await self.read_jobs()
            for job in accepted:
                state = listed.get(job.job_id, {}).get("state", "")
                if state not in ("", "open"):
                    is_done = state == "done"
                    job.outcome = Outcome.DONE if is_done else Outcome.FAILED
            if all(job.outcome is not Outcome.LOST for job in accepted):
                return
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)

    async def read_jobs(self) -> dict[str, dict[str, Any]]:
        """Return the jobs that an entry instance without faults lists, by id."""
        for plan in self.cell.running_entries():
            if plan.url in self.faulty_urls:
                continue
            answer = await self.cell.fetch_json(f"{plan.url}/v1/jobs")
            return {job["job_id"]: job for job in answer["items"]}
        return {}

    def tally(self) -> dict[str, dict[str, int]]:
        """Return the number of requests and jobs by outcome."""
        requests = Counter(request.outcome.value for request in self.sent_requests)
        jobs = Counter(job.outcome.value for job in self.sent_jobs)
        return {"requests": dict(requests), "jobs": dict(jobs)}

    def _make_request(self, number: int) -> SentRequest:
        request_id = f"{self.prefix}-{number}"
        body = {"work_ms": self.work_ms, "case": request_id}
        return SentRequest(request_id, number % 2 == 0, body)

    async def _send_when_due(
        self, started: float, number: int, count: int, item: SentRequest | SentJob
    ) -> None:
        due = started + self.spread_ms / 1000 * number / count
        await asyncio.sleep(max(0.0, due - time.monotonic()))
        if isinstance(item, SentRequest):
            send, may_retry = self._request_sender(item), item.idempotent
        else:
            send, may_retry = self._job_sender(item), True
        final = await self._attempt_until_known(number, send, may_retry, item.codes)
        item.outcome = final.outcome
        if isinstance(item, SentRequest) and final.outcome is Outcome.DONE:
            item.check_body(final.body)

    async def _attempt_until_known(
        self,
        number: int,
        send: Callable[[str], Awaitable[HTTPResponse]],
        may_retry: bool,
        codes: list[str],
    ) -> _Attempt:
        """Try entry instances in turn until the outcome is final or retries end."""
        is_unknown = False
        until = time.monotonic() + RETRY_WINDOW_MS / 1000
        for index in itertools.count():
            plans = self.cell.running_entries()
            plan = plans[(number + index) % len(plans)]
            attempt = await self._try_once(plan.url, send)
            codes.append(attempt.code)
            if attempt.outcome not in (Outcome.NOT_RUN, Outcome.UNKNOWN):
                return attempt
            is_unknown = is_unknown or attempt.outcome is Outcome.UNKNOWN
            if is_unknown and not may_retry:
                break
            if time.monotonic() > until:
                break
            await asyncio.sleep(min(MAX_RETRY_MS, FIRST_RETRY_MS << index) / 1000)
        return _Attempt(Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN, codes[-1])

    async def _try_once(
        self, url: str, send: Callable[[str], Awaitable[HTTPResponse]]
    ) -> _Attempt:
        try:
            response = await send(url)
        except ConnectionRefusedError:
            return _Attempt(Outcome.NOT_RUN, "connection_refused")
        except HTTPTimeoutError as error:
            if "connecting" in str(error):
                return _Attempt(Outcome.NOT_RUN, "connect_timeout")
            is_expected = url in self.faulty_urls
            outcome = Outcome.UNKNOWN if is_expected else Outcome.LOST
            return _Attempt(outcome, "no_answer")
        except (HTTPClientError, OSError):
            return _Attempt(Outcome.UNKNOWN, "connection_broken")
        if response.code in (200, 201):
            return _Attempt(Outcome.DONE, "ok", response.body)
        problem = json.loads(response.body)["error"]
        outcome_by_ran = {"no": Outcome.NOT_RUN, "yes": Outcome.FAILED}
        outcome = outcome_by_ran.get(problem["ran"], Outcome.UNKNOWN)
        return _Attempt(outcome, problem["code"])

    def _request_sender(
        self, request: SentRequest
    ) -> Callable[[str], Awaitable[HTTPResponse]]:
        headers = {
            "Request-Id": request.request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Idempotent": "true" if request.idempotent else "false",
        }
        path = f"/v1/run/{self.cell.service}"
        return lambda url: self._post(url + path, request.body, headers)

    def _job_sender(self, job: SentJob) -> Callable[[str], Awaitable[HTTPResponse]]:
        spec = {
            "team": self.team,
            "kind": "batch",
            "tasks": job.tasks,
            "run_ms": self.run_ms,
        }
        document = {"job_id": job.job_id, "spec": spec}
        headers = {"Deadline-Ms": str(DEADLINE_MS)}
        return lambda url: self._post(f"{url}/v1/jobs", document, headers)

    async def _post(
        self, url: str, document: dict[str, Any], headers: dict[str, str]
    ) -> HTTPResponse:
        return await self.cell.fetch(
            url,
            "POST",
            body=document,
            secret=self.secret,
            headers=headers,
            timeout_s=(DEADLINE_MS + RESPONSE_GRACE_MS) / 1000,
        )


def count_codes(items: Iterable[SentRequest | SentJob]) -> dict[str, int]:
    """Return the number of attempts by result code."""
    return dict(Counter(code for item in items for code in item.codes))
