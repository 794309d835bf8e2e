"""Orders to the platform's runners, and what they say of themselves."""

from __future__ import annotations

from typing import Any

import msgspec

from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    HttpResponse,
)
from marjoramgrade.controllers.workerport import WorkerPort
from marjoramgrade.errors import (
    InvalidInputError,
    WorkerRefusedError,
    WorkerReplacedError,
    WorkerUnreachableError,
    WorkerUnresponsiveError,
)
from marjoramgrade.platform.decoding import DECODE_ERRORS
from marjoramgrade.resources import Resources
from marjoramgrade.stepjobs import (
    RunEnd,
    RunEndStatus,
    RunReport,
    StartOrder,
    StepWorker,
    TaskRef,
    WorkerListing,
)

# Orders are answered within a millisecond or two; the rest allows for a loop that
# lags under load.
ORDER_TIMEOUT_MS = 250
# Beyond the time that a listing asked to wait.
LISTING_MARGIN_MS = 300
MAX_CONNECTIONS = 5

_ENDING_BY_WORD = {
    "done": RunEndStatus.DONE,
    "failed": RunEndStatus.FAILED,
    "stopped": RunEndStatus.STOPPED,
    "lapsed": RunEndStatus.LEASE_EXPIRED,
    "broken": RunEndStatus.GANG_BROKEN,
    "alone": RunEndStatus.GANG_INCOMPLETE,
}


class RunnerClient(WorkerPort):
    """Speaks to one life of a runner.

    Args:
        worker: The runner as registered.
    """

    def __init__(self, worker: StepWorker) -> None:
        self._worker_id = worker.worker_id
        self._pool = HttpPool(worker.address, MAX_CONNECTIONS)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def start(self, order: StartOrder, fence: int, expires_clock_ms: int) -> int:
        """Start a run; see `WorkerPort.start`."""
        document: dict[str, Any] = {
            "task": serialize_task(order.task),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": expires_clock_ms,
            "fence": fence,
        }
        if order.checkpoint:
            document["saved"] = order.checkpoint
        if order.ticket:
            document["ticket"] = order.ticket
        return await self._order("/run-start", document)

    async def stop(self, task: TaskRef, run: int, fence: int) -> int:
        """Stop a run; see `WorkerPort.stop`."""
        document = {"task": serialize_task(task), "run": run, "fence": fence}
        return await self._order("/run-stop", document)

    async def pace(self, task: TaskRef, run: int, percent: int, fence: int) -> int:
        """Slow a run; see `WorkerPort.pace`."""
        document = {
            "task": serialize_task(task),
            "run": run,
            "percent": percent,
            "fence": fence,
        }
        return await self._order("/pace", document)

    async def renew(
        self, fence: int, expires_clock_ms: int, acknowledged: int, wait_ms: int
    ) -> WorkerListing:
        """Renew the lease and list the runs; see `WorkerPort.renew`."""
        document = {"fence": fence, "lastSeen": acknowledged}
        if expires_clock_ms:
            document["deadlineMs"] = expires_clock_ms
        if wait_ms:
            document["waitMs"] = wait_ms
        answer = await self._call("/hold", document, wait_ms + LISTING_MARGIN_MS)
        return parse_listing(_document(answer))

    async def _order(self, path: str, document: dict[str, Any]) -> int:
        answer = await self._call(path, document, ORDER_TIMEOUT_MS)
        clock = _document(answer).get("clockMs")
        return clock if type(clock) is int else 0

    async def _call(
        self, path: str, document: dict[str, Any], timeout_ms: int
    ) -> HttpResponse:
        try:
            answer = await self._pool.request(
                "POST",
                path,
                body=msgspec.json.encode(document),
                headers={"X-Expect-Instance": self._worker_id},
                timeout_ms=timeout_ms,
            )
        except HttpNotSentError as error:
            raise WorkerUnreachableError(error.message) from None
        except HttpNoResponseError as error:
            raise WorkerUnresponsiveError(error.message) from None
        if answer.status == 200:
            return answer
        if answer.status == 421:
            raise WorkerReplacedError(f"{self._worker_id} no longer runs there")
        reason = ""
        if answer.status == 409:
            reason = str(_document(answer).get("reason") or "")
        elif answer.status in (429, 503):
            reason = "busy"
        raise WorkerRefusedError(
            f"{self._worker_id} answered {answer.status} to {path} {reason}",
            reason or "invalid",
        )


def _document(answer: HttpResponse) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(answer.body) if answer.body else {}
    except msgspec.DecodeError as error:
        raise WorkerUnresponsiveError(f"the answer is not JSON: {error}") from None
    return document if isinstance(document, dict) else {}


def serialize_task(task: TaskRef) -> str:
    """Return the name of a task on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> TaskRef:
    """Return the task that a name on the wire stands for.

    Raises:
        InvalidInputError: If the name has another form.
    """
    try:
        job_id, occurrence, step, index = text.split(".")
        return TaskRef(job_id, int(occurrence), int(step), int(index))
    except (AttributeError, ValueError):
        raise InvalidInputError(f"{text!r} is not the name of a task") from None


def parse_listing(document: dict[str, Any]) -> WorkerListing:
    """Return what a runner says of its runs.

    Raises:
        InvalidInputError: If a field is missing or of another type.
    """
    try:
        return WorkerListing(
            int(document.get("born") or 0),
            int(document["clockMs"]),
            tuple(_report(entry) for entry in document.get("running") or ()),
            tuple(_end(entry) for entry in document.get("ended") or ()),
        )
    except DECODE_ERRORS as error:
        raise InvalidInputError(f"a listing of runs: {error!r}") from None


def _report(entry: list[Any]) -> RunReport:
    # The fifth entry has a unit that depends on the task; see RunReport.figure.
    measurement = int(entry[4]) if len(entry) > 4 and entry[4] is not None else 0
    return RunReport(
        parse_task(entry[0]), int(entry[1]), entry[2] or "", int(entry[3]), measurement
    )


def _end(entry: list[Any]) -> RunEnd:
    return RunEnd(
        int(entry[0]),
        parse_task(entry[1]),
        int(entry[2]),
        _ENDING_BY_WORD[entry[3]],
        entry[4] or "",
    )


def parse_worker(worker_id: str, data: bytes) -> StepWorker:
    """Return a runner as it registered itself in the store.

    Raises:
        InvalidInputError: If the entry is not one of a runner.
    """
    try:
        document = msgspec.json.decode(data)
        capacity = document["capacity"]
        labels = document.get("labels") or []
        state = document["state"]
        texts = [document["service"], document["addr"], document["zone"], *labels]
        if not isinstance(capacity, dict):
            raise TypeError("the capacity is not an object")
        if state not in ("ready", "draining") or not all(
            isinstance(text, str) and text for text in texts
        ):
            raise ValueError("a field has an unknown value")
        host, _, port = document["addr"].rpartition(":")
        if not host or not port.isdigit():
            raise ValueError("the address has no port")
        return StepWorker(
            worker_id,
            document["service"],
            document["addr"],
            document["zone"],
            parse_resources(capacity),
            tuple(labels),
            state == "draining",
            int(document.get("born") or 0),
        )
    except DECODE_ERRORS as error:
        raise InvalidInputError(f"the entry of {worker_id}: {error!r}") from None


def parse_resources(document: dict[str, Any]) -> Resources:
    """Return amounts whose absent fields are zero."""
    return Resources(
        cpu_millis=int(document.get("cpu") or 0),
        memory_mib=int(document.get("memMb") or 0),
        accelerators=int(document.get("gpu") or 0),
    )
