"""HTTP client of the platform's runners, and decoding of their documents."""

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

# A runner responds to an order within 1 or 2 ms; the rest allows for an event loop
# that lags under load.
ORDER_TIMEOUT_MS = 250
# Added to the wait time of a listing to get the timeout of its request.
LISTING_MARGIN_MS = 300
MAX_CONNECTIONS = 5

_END_STATUS_BY_NAME = {
    "done": RunEndStatus.DONE,
    "failed": RunEndStatus.FAILED,
    "stopped": RunEndStatus.STOPPED,
    "lapsed": RunEndStatus.LEASE_EXPIRED,
    "broken": RunEndStatus.GANG_BROKEN,
    "alone": RunEndStatus.GANG_INCOMPLETE,
}


class RunnerClient(WorkerPort):
    """HTTP client of one incarnation of a runner.

    Args:
        worker: The runner as it registered itself.
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
        """Limit the speed of a run; see `WorkerPort.pace`."""
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
        return parse_listing(_decode_object(answer))

    async def _order(self, path: str, document: dict[str, Any]) -> int:
        answer = await self._call(path, document, ORDER_TIMEOUT_MS)
        clock = _decode_object(answer).get("clockMs")
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
            raise WorkerReplacedError(
                f"worker {self._worker_id} no longer runs at its address"
            )
        reason = ""
        if answer.status == 409:
            reason = str(_decode_object(answer).get("reason") or "")
        elif answer.status in (429, 503):
            reason = "busy"
        raise WorkerRefusedError(
            f"worker {self._worker_id} responded with status {answer.status} to {path} "
            f"{reason}",
            reason or "invalid",
        )


def _decode_object(answer: HttpResponse) -> dict[str, Any]:
    try:
        document = msgspec.json.decode(answer.body) if answer.body else {}
    except msgspec.DecodeError as error:
        raise WorkerUnresponsiveError(
            f"the worker's response is not JSON: {error}"
        ) from None
    return document if isinstance(document, dict) else {}


def serialize_task(task: TaskRef) -> str:
    """Return the name that identifies a task on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: str) -> TaskRef:
    """Return the task that a name on the wire identifies.

    Raises:
        InvalidInputError: If the text is not the name of a task.
    """
    try:
        job_id, occurrence, step, index = text.split(".")
        return TaskRef(job_id, int(occurrence), int(step), int(index))
    except (AttributeError, ValueError):
        raise InvalidInputError(f"{text!r} is not the name of a task") from None


def parse_listing(document: dict[str, Any]) -> WorkerListing:
    """Decode a runner's listing of its runs.

    Raises:
        InvalidInputError: If a field is missing or has the wrong type.
    """
    try:
        return WorkerListing(
            int(document.get("born") or 0),
            int(document["clockMs"]),
            tuple(_parse_run_report(entry) for entry in document.get("running") or ()),
            tuple(_parse_run_end(entry) for entry in document.get("ended") or ()),
        )
    except DECODE_ERRORS as error:
        raise InvalidInputError(
            f"a listing of runs cannot be decoded: {error!r}"
        ) from None


def _parse_run_report(entry: list[Any]) -> RunReport:
    # The unit of the fifth entry depends on the task; see RunReport.measurement.
    measurement = int(entry[4]) if len(entry) > 4 and entry[4] is not None else 0
    return RunReport(
        parse_task(entry[0]), int(entry[1]), entry[2] or "", int(entry[3]), measurement
    )


def _parse_run_end(entry: list[Any]) -> RunEnd:
    return RunEnd(
        int(entry[0]),
        parse_task(entry[1]),
        int(entry[2]),
        _END_STATUS_BY_NAME[entry[3]],
        entry[4] or "",
    )


def parse_worker(worker_id: str, data: bytes) -> StepWorker:
    """Decode the row that a runner registers itself with in the store.

    Raises:
        InvalidInputError: If the row is not a valid registration of a runner.
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
            raise ValueError("the address lacks a host or a port")
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
        raise InvalidInputError(
            f"the registration of worker {worker_id} cannot be decoded: {error!r}"
        ) from None


def parse_resources(document: dict[str, Any]) -> Resources:
    """Decode amounts of resources; absent fields are 0."""
    return Resources(
        cpu_millis=int(document.get("cpu") or 0),
        memory_mib=int(document.get("memMb") or 0),
        accelerators=int(document.get("gpu") or 0),
    )
