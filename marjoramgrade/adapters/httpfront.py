"""The HTTP interface for clients and operators.

Every request is parsed into a message and passes the filter chain. `httpresources`
registers the routes.
"""

from __future__ import annotations

import contextlib
import uuid
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from marjoramgrade import jsontext
from marjoramgrade.actor import Actor
from marjoramgrade.adapters.httperrors import error_document, status_of
from marjoramgrade.adapters.httpresources import HttpCall, Operation, iter_paths
from marjoramgrade.adapters.httpserver import (
    DrainingHttpServer,
    PortLimits,
    parse_request_id,
)
from marjoramgrade.adapters.intake import Intake, MeasuredStream
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.watch import Subscribe, Subscription, Unsubscribe
from marjoramgrade.decisions.stopping.answers import WorkKind
from marjoramgrade.documents import serialize_watch_event
from marjoramgrade.errors import (
    InvalidInputError,
    MarjoramgradeError,
    OversizedInputError,
    ShuttingDownError,
)
from marjoramgrade.filters.chain import FilterChain
from marjoramgrade.filters.context import RequestContext
from marjoramgrade.metrics import Metrics
from marjoramgrade.stopping import RequestProgress, Stopping

DEFAULT_DEADLINE_MS = 10_000
MAX_DEADLINE_MS = 60_000
MAX_HEADER_BYTES = 16_384
# The connection is closed if the request body takes longer than this to arrive.
BODY_TIMEOUT_MS = 10_000
IDLE_TIMEOUT_MS = 60_000
BEARER = "Bearer "
# Name of the port in the log.
PORT = "v1"


@attrs.define
class HttpServerState:
    """State that all handlers share.

    Attributes:
        chain: The filter chain that handles every request.
        watch: Controller of the watch subscriptions.
        clock: Monotonic clock.
        metrics: Counts requests refused before they reach the chain.
        max_body_bytes: Largest request body accepted, in bytes.
        is_ready: Whether new requests are accepted.
        in_flight: Number of requests without a response so far.
        stopping: Ends the waits of the requests before the process ends.
    """

    chain: FilterChain
    watch: Actor
    clock: Clock
    metrics: Metrics
    max_body_bytes: int
    is_ready: bool = True
    in_flight: int = 0
    stopping: Stopping = attrs.field(factory=Stopping)


@attrs.frozen
class _ParsedCall:
    """A parsed request and its context for the filter chain."""

    call: HttpCall
    context: RequestContext


class BaseHandler(RequestHandler):
    """Base class of the request handlers."""

    def initialize(
        self, state: HttpServerState, operation_by_method: Mapping[str, Operation]
    ) -> None:
        """Store the arguments from the route table; tornado calls this per request."""
        self.state = state
        self.operation_by_method = operation_by_method
        self.progress = RequestProgress(
            parse_request_id(self.request.headers),
            self.request.method or "",
            state.clock.now_ms(),
        )

    def set_default_headers(self) -> None:
        """Omit the `Server` header from responses."""
        self.clear_header("Server")

    def finish(self, chunk: str | bytes | dict[str, Any] | None = None) -> Any:
        """Send the response; while the instance shuts down, end the connection."""
        if not self.state.is_ready:
            self.set_header("Connection", "close")
        connection: Any = self.request.connection
        if connection.stream is not None and not connection.stream.closed():
            self.progress.ended = str(self.get_status())
        return super().finish(chunk)

    def on_finish(self) -> None:
        """Free what the request holds; called also if its client has left."""
        connection: Any = self.request.connection
        if isinstance(connection.stream, MeasuredStream):
            connection.stream.end_service()

    def secret(self) -> str:
        """Return the bearer token, which is the secret of a key, or an empty string."""
        value = self.request.headers.get("Authorization", "")
        return value[len(BEARER) :] if value.startswith(BEARER) else ""

    def deadline_ms(self) -> int:
        """Return the request's deadline on this instance's clock, in milliseconds.

        Raises:
            InvalidInputError: If `Deadline-Ms` is not a number within bounds.
        """
        text = self.request.headers.get("Deadline-Ms", str(DEFAULT_DEADLINE_MS))
        is_number = text.isascii() and text.isdigit() and len(text) <= 6
        if not is_number or not 0 < int(text) <= MAX_DEADLINE_MS:
            raise InvalidInputError(f"Deadline-Ms must be 1 to {MAX_DEADLINE_MS}")
        return self.state.clock.now_ms() + int(text)

    def respond_with_error(self, error: MarjoramgradeError) -> None:
        """Send an error response."""
        self.set_status(status_of(error))
        self.set_header("Ran", error.ran.value)
        self.set_header("Content-Type", "application/json")
        self.finish(jsontext.serialize_text(error_document(error)))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send the usual error document for an error that tornado detects."""
        error: MarjoramgradeError = InvalidInputError(self._reason)
        if status_code >= 500:
            error = MarjoramgradeError("internal error while handling the request")
        self.set_status(status_code)
        self.set_header("Content-Type", "application/json")
        self.finish(jsontext.serialize_text(error_document(error)))


class OperationHandler(BaseHandler):
    """Handles the operations that are registered for its path."""

    async def _handle(self, *arguments: str) -> None:
        operation = self.operation_by_method.get(self.request.method or "")
        if operation is None:
            self.send_error(405)
            return
        parsed = self._parse_call(arguments)
        if parsed is None:
            return
        self.state.in_flight += 1
        try:
            with self.state.stopping.track(self.progress):
                try:
                    await self._respond(operation, parsed)
                except MarjoramgradeError as error:
                    self.respond_with_error(error)
        finally:
            self.state.in_flight -= 1

    get = put = post = delete = _handle

    def _parse_call(self, arguments: Sequence[str]) -> _ParsedCall | None:
        """Return the parsed request, or send an error response and return None."""
        try:
            return self._parse(arguments)
        except MarjoramgradeError as error:
            self.state.metrics.refused(error)
            self.respond_with_error(error)
            return None

    def _parse(self, arguments: Sequence[str]) -> _ParsedCall:
        if not self.state.is_ready:
            raise ShuttingDownError("this instance is shutting down")
        if len(self.request.body) > self.state.max_body_bytes:
            raise OversizedInputError(
                f"the body is larger than {self.state.max_body_bytes} bytes"
            )
        deadline_ms = self.deadline_ms()
        request_id = self.request.headers.get("Request-Id") or uuid.uuid4().hex
        call = HttpCall(
            tuple(arguments),
            self.request.headers,
            self.request.body,
            request_id,
            deadline_ms - self.state.clock.now_ms(),
        )
        message = self.operation_by_method[self.request.method or ""].parse(call)
        context = RequestContext(
            message, self.secret(), request_id, deadline_ms, progress=self.progress
        )
        return _ParsedCall(call, context)

    async def _respond(self, operation: Operation, parsed: _ParsedCall) -> None:
        kind = WorkKind.READ if self.request.method == "GET" else WorkKind.CHANGE
        async with self.state.stopping.bound(kind, PORT):
            reply = await self.state.chain.handle(parsed.context)
        answer = operation.serialize(parsed.call, reply)
        self.set_status(answer.status)
        self.set_header("Request-Id", parsed.call.request_id)
        for name, value in answer.headers.items():
            self.set_header(name, value)
        self.finish(answer.body)


class WatchHandler(BaseHandler):
    """Streams changes as JSON lines until the client disconnects."""

    async def get(self) -> None:
        """Stream the changes after the version in the query parameter `after`."""
        with self.state.stopping.track(self.progress):
            await self._stream()

    async def _stream(self) -> None:
        try:
            subscription = await self._subscribe()
        except MarjoramgradeError as error:
            self.respond_with_error(error)
            return
        self.set_header("Content-Type", "application/x-ndjson")
        self.progress.waits_for = "change"
        try:
            # It ends by `EndWatches`; the response is then completed.
            while True:
                for event in await subscription.next_events():
                    line = jsontext.serialize_text(serialize_watch_event(event))
                    self.write(line + "\n")
                await self.flush()
        except (StreamClosedError, ShuttingDownError):
            return
        finally:
            # At shutdown the controller may stop before this handler ends.
            with contextlib.suppress(ShuttingDownError):
                self.state.watch.tell(Unsubscribe(subscription))

    async def _subscribe(self) -> Subscription:
        if not self.state.is_ready:
            raise ShuttingDownError("this instance is shutting down")
        message = Subscribe(self._parse_after())
        context = RequestContext(
            message,
            self.secret(),
            uuid.uuid4().hex,
            self.deadline_ms(),
            progress=self.progress,
        )
        async with self.state.stopping.bound(WorkKind.READ, PORT):
            subscription: Subscription = await self.state.chain.handle(context)
        return subscription

    def _parse_after(self) -> int | None:
        text = self.get_query_argument("after", "")
        if text == "":
            return None
        if not (text.isascii() and text.isdigit() and len(text) <= 18):
            raise InvalidInputError("after must be a version number")
        return int(text)


class ReadyHandler(BaseHandler):
    """Readiness endpoint for the load balancer."""

    def get(self) -> None:
        """Respond with 200 when requests are accepted and 503 otherwise."""
        if not self.state.is_ready:
            self.respond_with_error(ShuttingDownError("this instance is shutting down"))
            return
        self.finish("ready\n")


class NotFoundHandler(BaseHandler):
    """Handles paths without a route."""

    def prepare(self) -> None:
        """Respond with 404 in the same form as other errors."""
        error = InvalidInputError(f"no resource at {self.request.path[:100]}")
        self.set_status(404)
        self.set_header("Content-Type", "application/json")
        self.finish(jsontext.serialize_text(error_document(error)))


def make_application(state: HttpServerState) -> Application:
    """Return the HTTP application of an entry instance."""
    handler_arguments: dict[str, Any] = {"state": state, "operation_by_method": {}}
    routes: list[Any] = [
        (
            path,
            OperationHandler,
            {**handler_arguments, "operation_by_method": operations},
        )
        for path, operations in iter_paths()
    ]
    routes.append((r"/v1/watch", WatchHandler, handler_arguments))
    routes.append((r"/ready", ReadyHandler, handler_arguments))
    return Application(
        routes,
        default_handler_class=NotFoundHandler,
        default_handler_args=handler_arguments,
        compress_response=False,
    )


def make_server(
    state: HttpServerState, max_body_bytes: int, intake: Intake | None = None
) -> DrainingHttpServer:
    """Return the HTTP server, with limits on the memory and time per client."""
    intake = intake or Intake.from_config(clock=state.clock, metrics=state.metrics)
    return DrainingHttpServer(
        make_application(state),
        max_header_size=MAX_HEADER_BYTES,
        max_buffer_size=2 * max_body_bytes + MAX_HEADER_BYTES,
        body_timeout=BODY_TIMEOUT_MS / 1000,
        idle_connection_timeout=IDLE_TIMEOUT_MS / 1000,
        intake=intake,
        # A larger body gets a response without content; a body between the two limits
        # gets a typed error response.
        limits=PortLimits(2 * max_body_bytes, intake.bounds.client_connections, PORT),
    )
