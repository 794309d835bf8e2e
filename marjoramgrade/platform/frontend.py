"""HTTP servers for the platform's clients and its load balancer."""

from __future__ import annotations

import asyncio
import math
import socket
from typing import Any

import attrs
import msgspec
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from marjoramgrade import logs
from marjoramgrade.actor import describe_error
from marjoramgrade.adapters.httpserver import (
    DrainingHttpServer,
    PortLimits,
    parse_request_id,
)
from marjoramgrade.adapters.intake import Intake, MeasuredStream
from marjoramgrade.clock import Clock
from marjoramgrade.decisions.stopping.answers import WorkKind
from marjoramgrade.errors import (
    ForbiddenError,
    InvalidInputError,
    JobNotFoundError,
    MarjoramgradeError,
    OutcomeUnknownError,
    OverloadedError,
    QueueNotFoundError,
    Ran,
    RefusedError,
    UnauthenticatedError,
    drop_frames,
)
from marjoramgrade.filters.chain import FilterChain
from marjoramgrade.filters.context import RequestContext
from marjoramgrade.messages.steps import (
    ClientPresence,
    PendingCount,
    QueueRequest,
    QueueVerb,
    StepJobShown,
)
from marjoramgrade.metrics import Metrics
from marjoramgrade.platform.decoding import (
    decode_object,
    get_flag,
    get_integer,
    get_list,
    get_text,
    get_total_resources,
    reports_invalid,
    to_integer,
    to_object,
)
from marjoramgrade.stepjobs import MAX_STEPS, Schedule, Step, StepJob
from marjoramgrade.stopping import LEFT, RequestProgress, Stopping

DEFAULT_DEADLINE_MS = 3_000
MAX_DEADLINE_MS = 60_000
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 262_144
IDLE_TIMEOUT_MS = 60_000
# Delay after which a client may retry: takeovers and short outages of the
# store end within 1 s.
RETRY_AFTER_S = 1
# Longest delay that a response names: no client waits longer for its work.
MAX_RETRY_AFTER_S = MAX_DEADLINE_MS // 1_000
BEARER = "Bearer "
# Checks of the load balancer that fail before it takes an instance out.
UNREADY_CHECKS = 2
# Requests that follow each other faster than this are not its checks, or count as one.
CHECK_SPACING_MS = 500
# Name of the port in the log.
PORT = "front"

_VERB_BY_METHOD = {
    "POST": QueueVerb.SUBMIT,
    "GET": QueueVerb.STATE,
    "DELETE": QueueVerb.CANCEL,
}
_KIND_BY_METHOD = {
    "POST": WorkKind.SUBMISSION,
    "DELETE": WorkKind.CHANGE,
}
# The first entry whose type matches an error gives its status.
_STATUS_BY_TYPE: tuple[tuple[type[MarjoramgradeError], int], ...] = (
    (UnauthenticatedError, 401),
    (ForbiddenError, 403),
    (QueueNotFoundError, 404),
    (JobNotFoundError, 410),
    (InvalidInputError, 400),
    (OverloadedError, 429),
    (RefusedError, 503),
    (OutcomeUnknownError, 504),
)


@attrs.frozen
class ClientResponse:
    """A response to a client.

    Attributes:
        status: HTTP status.
        body: The body.
        retry_after_s: Delay, in seconds, after which the client may retry if the
            response has no result.
    """

    status: int
    body: bytes
    retry_after_s: int = RETRY_AFTER_S


@attrs.define
class ClientFrontend:
    """Serves requests of clients.

    Attributes:
        chain: Handles each request.
        clock: Monotonic time.
        metrics: Records the duration of each request.
        intake: Bounds what the clients use.
        stopping: The requests in flight, and since when the process stops.
        is_draining: Whether the instance is shutting down; responses then close their
            connections.
        in_flight: Number of requests that are being processed.
    """

    chain: FilterChain
    clock: Clock
    metrics: Metrics
    intake: Intake = attrs.field(factory=Intake.from_config)
    stopping: Stopping = attrs.field(factory=Stopping)
    is_draining: bool = False
    in_flight: int = 0
    _tasks: set[asyncio.Task[None]] = attrs.field(factory=set)
    _server: DrainingHttpServer | None = None
    _last_request_ms: int = 0

    def make_server(self) -> DrainingHttpServer:
        """Return a new server that does not listen yet."""
        self._server = DrainingHttpServer(
            self._accept,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_MS / 1000,
            intake=self.intake,
            limits=PortLimits(
                MAX_BODY_BYTES, self.intake.bounds.client_connections, PORT
            ),
        )
        return self._server

    @property
    def has_connections(self) -> bool:
        """Whether any client connection is open; false before `make_server`."""
        return self._server is not None and self._server.has_connections

    @property
    def last_used_ms(self) -> int:
        """When the last connection was opened or the last request came; 0 for never."""
        opened_ms = 0 if self._server is None else self._server.last_opened_ms
        return max(opened_ms, self._last_request_ms)

    @property
    def last_opened_ms(self) -> int:
        """When the last connection was opened; 0 for never."""
        return 0 if self._server is None else self._server.last_opened_ms

    def close_idle(self) -> None:
        """Close the connections whose clients neither sent nor await anything."""
        if self._server is not None:
            self._server.close_idle()

    def _accept(self, request: HTTPServerRequest) -> asyncio.Future[None]:
        task = asyncio.ensure_future(self._serve(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _serve(self, request: HTTPServerRequest) -> None:
        self.in_flight += 1
        started_ms = self._last_request_ms = self.clock.now_ms()
        progress = RequestProgress(
            parse_request_id(request.headers), request.method or "", started_ms
        )
        try:
            with self.stopping.track(progress):
                response = await self._respond(request, progress)
                self.metrics.timing("request", self.clock.now_ms() - started_ms)
                if self._write(request, response):
                    progress.ended = str(response.status)
                elif not self.stopping.is_closing:
                    progress.ended = LEFT
        except StreamClosedError:
            return
        finally:
            self.in_flight -= 1

    async def _respond(
        self, request: HTTPServerRequest, progress: RequestProgress
    ) -> ClientResponse:
        request_id, started_ms = progress.request_id, progress.taken_ms
        context: RequestContext | None = None
        kind = _KIND_BY_METHOD.get(request.method or "", WorkKind.READ)
        try:
            async with self.stopping.bound(kind, PORT):
                context = self._make_context(request, progress)
                body = serialize_response(await self.chain.handle(context))
            self._record_answer(request_id, 200, context)
            return ClientResponse(200, body)
        except MarjoramgradeError as error:
            status = status_of(error)
            self._record_answer(request_id, status, context)
            logs.log_job_event(
                "request_failed",
                _id_in_path(request.path),
                request=request_id,
                method=request.method or "",
                path=request.path[-40:],
                status=status,
                code=error.code,
                reason=error.message[:200],
                took_ms=self.clock.now_ms() - started_ms,
                config=context.config_version if context is not None else 0,
                config_age_ms=context.config_age_ms if context is not None else 0,
            )
            drop_frames(error)
            body = msgspec.json.encode({"error": error.code})
            return ClientResponse(status, body, retry_after_s(error))
        except Exception as error:
            # A fault of the product: its caller is answered like any other.
            self.metrics.refused(MarjoramgradeError("unexpected error"))
            logs.log_event(
                "request_error",
                request=request_id,
                method=request.method or "",
                path=request.path[-40:],
                reason=describe_error(error),
            )
            answer = _answer_unexpected(kind)
            body = msgspec.json.encode({"error": answer.code})
            return ClientResponse(status_of(answer), body)

    def _record_answer(
        self, request_id: str, status: int, context: RequestContext | None
    ) -> None:
        """Record which configuration, and how old, an answer was given under."""
        if context is None or not context.config_version:
            return
        self.metrics.timing("config_age", context.config_age_ms)
        if request_id:
            logs.log_batched(
                "answered",
                f"{request_id}:{status}:{context.config_version}"
                f":{context.config_age_ms}",
            )

    def _make_context(
        self, request: HTTPServerRequest, progress: RequestProgress
    ) -> RequestContext:
        verb = _VERB_BY_METHOD.get(request.method or "")
        if verb is None:
            raise InvalidInputError(f"the method {request.method} is not supported")
        if verb is QueueVerb.STATE and request.path.endswith("/"):
            verb = QueueVerb.COUNT
        presence = ClientPresence()
        job = None
        if verb is QueueVerb.SUBMIT:
            if _has_left(request):
                # The request waited while this instance was paused. Its client may have
                # been refused by another one since.
                raise OutcomeUnknownError("the client left before the request was read")
            job = parse_job(request.body)
            _hold_instead_of_body(request, job.size_bytes)
            connection: Any = request.connection
            connection.set_close_callback(presence.mark_left)
        else:
            _hold_instead_of_body(request, 0)
        host = request.host.rpartition(":")[0] or request.host
        secret = request.headers.get("Authorization", "")
        return RequestContext(
            QueueRequest(verb, host.lower(), request.path, job),
            secret.removeprefix(BEARER) if secret.startswith(BEARER) else "",
            "",
            # A submission is not accepted once its caller has been answered.
            self.stopping.end_of_wait_ms(
                progress.taken_ms + _parse_deadline_ms(request.headers)
            ),
            presence=presence,
            progress=progress,
        )

    def _write(self, request: HTTPServerRequest, response: ClientResponse) -> bool:
        """Send a response; return whether the connection was still open."""
        connection: Any = request.connection
        if connection is None:
            return False
        is_open = connection.stream is not None and not connection.stream.closed()
        status, body = response.status, response.body
        headers = HTTPHeaders(
            {"Content-Type": "application/json", "Content-Length": str(len(body))}
        )
        if status in (429, 503, 504):
            headers["Retry-After"] = str(response.retry_after_s)
        # The client then retries on a new connection, for which the load balancer can
        # choose an instance that is ready.
        if self.is_draining or status in (503, 504):
            headers["Connection"] = "close"
        write_future = connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, ""), headers, body
        )
        write_future.add_done_callback(
            lambda done: done.cancelled() or done.exception()
        )
        connection.finish()
        return is_open


def _answer_unexpected(kind: WorkKind) -> MarjoramgradeError:
    """Return the answer to a request that failed for an unexpected reason."""
    message = "unexpected error while handling the request"
    if kind is WorkKind.READ:
        return MarjoramgradeError(message)
    return OutcomeUnknownError(message)


def status_of(error: MarjoramgradeError) -> int:
    """Return the HTTP status for an error.

    429 and 503 guarantee that the work has not run, so errors whose outcome is unknown
    always map to 504.
    """
    if error.ran is Ran.UNKNOWN:
        return 504
    for kind, status in _STATUS_BY_TYPE:
        if isinstance(error, kind):
            return status
    return 502


def retry_after_s(error: MarjoramgradeError) -> int:
    """Return the delay, in whole seconds, after which a client may retry."""
    if not isinstance(error, OverloadedError):
        return RETRY_AFTER_S
    seconds = math.ceil(error.retry_after_ms / 1_000)
    return min(max(seconds, RETRY_AFTER_S), MAX_RETRY_AFTER_S)


def serialize_response(answer: Any) -> bytes:
    """Return the response body for a result of the filter chain."""
    if isinstance(answer, StepJobShown):
        return msgspec.json.encode({"state": answer.state.value})
    if isinstance(answer, PendingCount):
        return msgspec.json.encode({"pending": answer.count})
    return b"{}"


def _hold_instead_of_body(request: HTTPServerRequest, size: int) -> None:
    """Free the body of a request that has been decoded.

    Args:
        request: The request.
        size: What is held instead, in bytes.

    Raises:
        OutcomeUnknownError: If there is no room for that.
    """
    request.body = b""
    connection: Any = request.connection
    stream = connection.stream
    if isinstance(stream, MeasuredStream) and not stream.resize_service(size):
        raise OutcomeUnknownError("there is no room to hold the job")


def _has_left(request: HTTPServerRequest) -> bool:
    """Return whether the client has closed the connection of a request."""
    connection: Any = request.connection
    if connection.stream is None or connection.stream.closed():
        return True
    try:
        data = connection.stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        # There is nothing to read, and the connection is open.
        return False
    except OSError:
        # The connection has failed, so no answer can be sent over it.
        return True
    return not data


def _id_in_path(path: str) -> str:
    """Return the last part of a path if it can be the id of a job, else ""."""
    text = path.rpartition("/")[2]
    return text if text.isascii() and text.isalnum() and len(text) <= 16 else ""


def _parse_deadline_ms(headers: HTTPHeaders) -> int:
    text = headers.get("X-Deadline-Ms", "")
    if not (text.isascii() and text.isdigit() and 0 < len(text) <= 6):
        return DEFAULT_DEADLINE_MS
    return min(int(text), MAX_DEADLINE_MS)


def parse_job(body: bytes) -> StepJob:
    """Decode a submitted job; its id, queue and team are left empty.

    Raises:
        InvalidInputError: If a field is missing or has the wrong type.
    """
    with reports_invalid("the job"):
        document = decode_object(body)
        steps = document["steps"]
        if len(steps) > MAX_STEPS:
            # Decoding the thousands of steps that a body can hold takes 0.1 s.
            raise InvalidInputError(f"a job must have 1 to {MAX_STEPS} steps")
        schedule = Schedule(
            get_integer(document, "times"),
            get_integer(document, "startAtMs"),
            get_integer(document, "intervalMs"),
        )
        return StepJob(
            "",
            "",
            "",
            get_text(document, "spec"),
            tuple(_parse_step(entry) for entry in steps),
            schedule,
        )


def _parse_step(entry: Any) -> Step:
    fields = to_object(entry, "step")
    return Step(
        count=get_integer(fields, "count"),
        # A task may need more than any worker has; such a job waits or fails.
        resources=get_total_resources(fields),
        estimate_ms=get_integer(fields, "estMs"),
        # A repeated predecessor means the same as one.
        after=_parse_predecessors(fields),
        gang=get_flag(fields, "gang"),
        same_rack=get_flag(fields, "sameRack"),
        required_label=get_text(fields, "constraints"),
        data_rack=get_text(fields, "affinity"),
        max_per_worker=get_integer(fields, "antiAffinity"),
        speculative=get_flag(fields, "speculative"),
        long_running=get_flag(fields, "daemon"),
        checkpoints=get_flag(fields, "checkpoint"),
        image=get_text(fields, "image"),
        latency_target_ms=get_integer(fields, "targetMs"),
        uses_spare=get_flag(fields, "fills"),
        # mayMiss limits how many tasks the scheduler's own orders make unavailable.
        max_unavailable=get_integer(fields, "mayMiss"),
    )


def _parse_predecessors(fields: dict[str, Any]) -> tuple[int, ...]:
    indexes = {to_integer(index, "after") for index in get_list(fields, "after")}
    if len(indexes) > MAX_STEPS:
        raise InvalidInputError(f"a step has more than {MAX_STEPS} predecessors")
    return tuple(sorted(indexes))


class ReadinessEndpoint:
    """Serves the load balancer's readiness checks.

    Attributes:
        is_ready: Whether this instance accepts new connections; without effect once
            draining has begun.
    """

    def __init__(self, intake: Intake | None = None) -> None:
        self.is_ready = False
        self._is_draining = False
        self._failed_checks = 0
        self._failed_check_ms = 0
        self._intake = intake or Intake.from_config()

    def mark_draining(self) -> None:
        """Report the instance as not ready until the process ends."""
        self._is_draining = True

    @property
    def is_noticed(self) -> bool:
        """Whether the load balancer has been told often enough since then."""
        return self._failed_checks >= UNREADY_CHECKS

    def _count_failed_check(self) -> None:
        now_ms = self._intake.now_ms()
        if self._is_draining and now_ms - self._failed_check_ms >= CHECK_SPACING_MS:
            self._failed_checks += 1
            self._failed_check_ms = now_ms

    def make_server(self) -> DrainingHttpServer:
        """Return a new server that does not listen yet."""
        return DrainingHttpServer(
            self._accept,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_MS / 1000,
            intake=self._intake,
            limits=PortLimits(
                MAX_BODY_BYTES, self._intake.bounds.side_connections, "ready"
            ),
        )

    def _accept(self, request: HTTPServerRequest) -> None:
        connection: Any = request.connection
        if connection is None:
            return
        is_ready = self.is_ready and not self._is_draining
        status = 200 if is_ready else 503
        self._count_failed_check()
        write_future = connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, ""),
            HTTPHeaders({"Content-Length": "0"}),
        )
        write_future.add_done_callback(
            lambda done: done.cancelled() or done.exception()
        )
        connection.finish()
