"""HTTP client of the platform's runners, and decoding of their documents."""

from __future__ import annotations

from typing import Any

import msgspec

from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    HttpResponse,
    check_header_value,
)
from marjoramgrade.addresses import check_address
from marjoramgrade.controllers.workerport import WorkerPort
from marjoramgrade.errors import (
    InvalidInputError,
    WorkerRefusedError,
    WorkerReplacedError,
    WorkerUnreachableError,
    WorkerUnresponsiveError,
)
from marjoramgrade.platform.decoding import (
    decode_object,
    get_integer,
    get_list,
    get_resources,
    get_text,
    reports_invalid,
    to_integer,
    to_object,
    to_text,
)
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
# Length up to which an id that another program chose is repeated in a message.
MAX_ID_LENGTH = 100
# A runner lists at most this many ends at a time.
MAX_LISTED_ENDS = 500
# Digits of the numbers in the name of a task.
MAX_NUMBER_DIGITS = 15

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
        return parse_listing(_decode_response(answer))

    async def _order(self, path: str, document: dict[str, Any]) -> int:
        answer = await self._call(path, document, ORDER_TIMEOUT_MS)
        clock = _decode_response(answer).get("clockMs")
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
            reason = str(_decode_response(answer).get("reason") or "")
        elif answer.status in (429, 503):
            reason = "busy"
        raise WorkerRefusedError(
            f"worker {self._worker_id} responded with status {answer.status} to {path} "
            f"{reason}",
            reason or "invalid",
        )


def _decode_response(answer: HttpResponse) -> dict[str, Any]:
    try:
        return decode_object(answer.body) if answer.body else {}
    except InvalidInputError as error:
        raise WorkerUnresponsiveError(
            f"the worker's response cannot be decoded: {error.message}"
        ) from None


def serialize_task(task: TaskRef) -> str:
    """Return the name that identifies a task on the wire."""
    return f"{task.job_id}.{task.occurrence}.{task.step}.{task.index}"


def parse_task(text: Any) -> TaskRef:
    """Return the task that a name on the wire identifies.

    Raises:
        InvalidInputError: If the value is not the name of a task.
    """
    parts = text.split(".") if isinstance(text, str) else []
    numbers = [
        int(part)
        for part in parts[1:]
        if part.isascii() and part.isdigit() and len(part) <= MAX_NUMBER_DIGITS
    ]
    if len(parts) != 4 or len(numbers) != 3:
        raise InvalidInputError(f"{text!r:.100} is not the name of a task")
    return TaskRef(parts[0], *numbers)


def parse_listing(document: dict[str, Any]) -> WorkerListing:
    """Decode a runner's listing of its runs.

    Raises:
        InvalidInputError: If a field is missing, out of range or has the wrong type.
    """
    with reports_invalid("a listing of runs"):
        ended = tuple(_parse_run_end(entry) for entry in get_list(document, "ended"))
        return WorkerListing(
            get_integer(document, "born"),
            to_integer(document["clockMs"], "clockMs"),
            tuple(_parse_run_report(entry) for entry in get_list(document, "running")),
            ended,
            len(ended) < MAX_LISTED_ENDS,
        )


def _parse_run_report(entry: list[Any]) -> RunReport:
    # The unit of the fifth entry depends on the task; see RunReport.measurement.
    measurement = entry[4] if len(entry) > 4 else None
    return RunReport(
        parse_task(entry[0]),
        to_integer(entry[1], "run"),
        to_text(entry[2], "saved"),
        to_integer(entry[3], "percent"),
        to_integer(measurement, "measurement"),
    )


def _parse_run_end(entry: list[Any]) -> RunEnd:
    return RunEnd(
        to_integer(entry[0], "number"),
        parse_task(entry[1]),
        to_integer(entry[2], "run"),
        _END_STATUS_BY_NAME[entry[3]],
        to_text(entry[4], "saved"),
    )


def parse_worker(worker_id: str, data: bytes) -> StepWorker:
    """Decode the row that a runner registers itself with in the store.

    Its id must be fit for a header, since each call to the runner names it in one.

    Raises:
        InvalidInputError: If the row is not a valid registration of a runner.
    """
    with reports_invalid(f"the registration of worker {worker_id[:MAX_ID_LENGTH]}"):
        document = decode_object(data)
        state = get_text(document, "state")
        if state not in ("ready", "draining"):
            raise InvalidInputError("the state is unknown")
        return StepWorker(
            check_header_value(worker_id, "the id"),
            get_text(document, "service", required=True),
            check_address(get_text(document, "addr"), "addr"),
            get_text(document, "zone", required=True),
            get_resources(to_object(document["capacity"], "capacity")),
            tuple(
                to_text(label, "label", required=True)
                for label in get_list(document, "labels")
            ),
            state == "draining",
            get_integer(document, "born"),
        )
