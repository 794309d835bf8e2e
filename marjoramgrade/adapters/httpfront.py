"""The HTTP interface for callers and operators.

Every request becomes a message and passes the filter chain; the routes are
registered in `httpresources`.
"""

from __future__ import annotations

import contextlib
import uuid
from collections.abc import Mapping, Sequence
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from marjoramgrade import jsontext
from marjoramgrade.actor import Actor
from marjoramgrade.adapters.httperrors import error_document, status_of
from marjoramgrade.adapters.httpresources import HttpCall, Operation, iter_paths
from marjoramgrade.clock import Clock
from marjoramgrade.controllers.watch import Subscribe, Unsubscribe
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

DEFAULT_DEADLINE_MS = 10_000
MAX_DEADLINE_MS = 60_000
MAX_HEADER_BYTES = 16_384
# A caller that sends its body more slowly than this is cut off.
BODY_TIMEOUT_MS = 10_000
IDLE_TIMEOUT_MS = 60_000
BEARER = "Bearer "


@attrs.define
class HttpServerState:
    """What the handlers share.

    Attributes:
        chain: The filter chain.
        watch: Controller of the watches.
        clock: Monotonic time.
        metrics: Counts refusals before the chain.
        max_body_bytes: Largest body that is taken.
        is_ready: Whether new requests are taken.
        in_flight: Requests that have not been answered.
    """

    chain: FilterChain
    watch: Actor
    clock: Clock
    metrics: Metrics
    max_body_bytes: int
    is_ready: bool = True
    in_flight: int = 0


@attrs.frozen
class _Call:
    """A request and the context in which it passes the chain."""

    call: HttpCall
    context: RequestContext


class BaseHandler(RequestHandler):
    """Base class of the handlers."""

    def initialize(
        self, state: HttpServerState, operation_by_method: Mapping[str, Operation]
    ) -> None:
        """Take over what the application hands to each handler."""
        self.state = state
        self.operation_by_method = operation_by_method

    def set_default_headers(self) -> None:
        """Keep the server's name out of the answers."""
        self.clear_header("Server")

    def secret(self) -> str:
        """Return the secret of the key that came with the request, or empty."""
        value = self.request.headers.get("Authorization", "")
        return value[len(BEARER) :] if value.startswith(BEARER) else ""

    def deadline_ms(self) -> int:
        """Return the caller's deadline on this instance's clock.

        Raises:
            InvalidInputError: If the header is no number within bounds.
        """
        text = self.request.headers.get("Deadline-Ms", str(DEFAULT_DEADLINE_MS))
        is_number = text.isascii() and text.isdigit() and len(text) <= 6
        if not is_number or not 0 < int(text) <= MAX_DEADLINE_MS:
            raise InvalidInputError(f"Deadline-Ms must be 1 to {MAX_DEADLINE_MS}")
        return self.state.clock.now_ms() + int(text)

    def answer_error(self, error: MarjoramgradeError) -> None:
        """Answer with the one form that all errors have."""
        self.set_status(status_of(error))
        self.set_header("Ran", error.ran.value)
        self.set_header("Content-Type", "application/json")
        self.finish(jsontext.serialize_text(error_document(error)))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer failures that the HTTP library finds, in the same form."""
        error: MarjoramgradeError = InvalidInputError(self._reason)
        if status_code >= 500:
            error = MarjoramgradeError("the request could not be handled")
        self.set_status(status_code)
        self.set_header("Content-Type", "application/json")
        self.finish(jsontext.serialize_text(error_document(error)))


class OperationHandler(BaseHandler):
    """Answers the operations that are registered for its path."""

    async def _handle(self, *arguments: str) -> None:
        operation = self.operation_by_method.get(self.request.method or "")
        if operation is None:
            self.send_error(405)
            return
        call = self._parse_call(arguments)
        if call is None:
            return
        self.state.in_flight += 1
        try:
            await self._answer(operation, call)
        except MarjoramgradeError as error:
            self.answer_error(error)
        finally:
            self.state.in_flight -= 1

    get = put = post = delete = _handle

    def _parse_call(self, arguments: Sequence[str]) -> _Call | None:
        """Return what the request asks for, or answer why that is unclear."""
        try:
            return self._parse(arguments)
        except MarjoramgradeError as error:
            self.state.metrics.refused(error)
            self.answer_error(error)
            return None

    def _parse(self, arguments: Sequence[str]) -> _Call:
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
        return _Call(
            call, RequestContext(message, self.secret(), request_id, deadline_ms)
        )

    async def _answer(self, operation: Operation, parsed: _Call) -> None:
        reply = await self.state.chain.handle(parsed.context)
        answer = operation.serialize(parsed.call, reply)
        self.set_status(answer.status)
        self.set_header("Request-Id", parsed.call.request_id)
        for name, value in answer.headers.items():
            self.set_header(name, value)
        self.finish(answer.body)


class WatchHandler(BaseHandler):
    """Streams changes as JSON lines until the caller goes away."""

    async def get(self) -> None:
        """Stream the changes after a version."""
        try:
            after = self._parse_after()
            context = RequestContext(
                Subscribe(after), self.secret(), uuid.uuid4().hex, self.deadline_ms()
            )
            subscription = await self.state.chain.handle(context)
        except MarjoramgradeError as error:
            self.answer_error(error)
            return
        self.set_header("Content-Type", "application/x-ndjson")
        try:
            while self.state.is_ready:
                for event in await subscription.next_events():
                    line = jsontext.serialize_text(serialize_watch_event(event))
                    self.write(line + "\n")
                await self.flush()
        except (StreamClosedError, ShuttingDownError):
            return
        finally:
            # The controller stops before the last watch has noticed the shutdown.
            with contextlib.suppress(ShuttingDownError):
                self.state.watch.tell(Unsubscribe(subscription))

    def _parse_after(self) -> int | None:
        text = self.get_query_argument("after", "")
        if text == "":
            return None
        if not (text.isascii() and text.isdigit() and len(text) <= 18):
            raise InvalidInputError("after must be a version")
        return int(text)


class ReadyHandler(BaseHandler):
    """Tells the balancer whether this instance takes requests."""

    def get(self) -> None:
        """Answer 200 when ready and 503 when not."""
        if not self.state.is_ready:
            self.answer_error(ShuttingDownError("this instance is shutting down"))
            return
        self.finish("ready\n")


class NotFoundHandler(BaseHandler):
    """Answers paths that do not exist."""

    def prepare(self) -> None:
        """Answer 404 in the form of all errors."""
        error = InvalidInputError(f"there is nothing at {self.request.path[:100]}")
        self.set_status(404)
        self.set_header("Content-Type", "application/json")
        self.finish(jsontext.serialize_text(error_document(error)))


def make_application(state: HttpServerState) -> Application:
    """Return the HTTP application of an entry instance."""
    shared: dict[str, Any] = {"state": state, "operation_by_method": {}}
    routes: list[Any] = [
        (path, OperationHandler, {**shared, "operation_by_method": operations})
        for path, operations in iter_paths()
    ]
    routes.append((r"/v1/watch", WatchHandler, shared))
    routes.append((r"/ready", ReadyHandler, shared))
    return Application(
        routes,
        default_handler_class=NotFoundHandler,
        default_handler_args=shared,
        compress_response=False,
    )


def make_server(state: HttpServerState, max_body_bytes: int) -> HTTPServer:
    """Return the HTTP server; it bounds what a caller can make it keep."""
    return HTTPServer(
        make_application(state),
        max_header_size=MAX_HEADER_BYTES,
        # A larger body is cut off; up to this size it gets a typed answer.
        max_body_size=2 * max_body_bytes,
        max_buffer_size=2 * max_body_bytes + MAX_HEADER_BYTES,
        body_timeout=BODY_TIMEOUT_MS / 1000,
        idle_connection_timeout=IDLE_TIMEOUT_MS / 1000,
    )
