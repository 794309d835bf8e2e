"""An HTTP server that sends the responses that a test specifies."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

Answer = Callable[[RequestHandler], Awaitable[None] | None]


class ScriptedServer:
    """Sends the next response to each request and records the requests.

    Args:
        answers: Functions that write the responses, in the order of the requests.

    Attributes:
        requests: The requests received so far.
        url: Base URL of the server while it runs.
    """

    def __init__(self, *answers: Answer) -> None:
        self.answers = list(answers)
        self.requests: list[HTTPServerRequest] = []
        self.url = ""

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator["ScriptedServer"]:
        """Listen on a free port and set `url` while the context is open."""
        scripted = self

        class Handler(RequestHandler):
            async def prepare(self) -> None:
                scripted.requests.append(self.request)
                answer = scripted.answers.pop(0)(self)
                if answer is not None:
                    await answer
                if not self._finished:
                    self.finish()

        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(Application([(r".*", Handler)]))
        server.add_sockets(sockets)
        self.url = f"http://127.0.0.1:{sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.stop()
            await server.close_all_connections()


def says(
    body: object, *, status: int = 200, version: int | None = None
) -> Callable[[RequestHandler], None]:
    """Respond with a body, a status and, if given, a version as the `ETag`."""

    def answer(handler: RequestHandler) -> None:
        handler.set_status(status)
        if version is not None:
            handler.set_header("ETag", f'"{version}"')
        handler.write(body)  # type: ignore[arg-type]

    return answer


def fails(code: str, status: int, ran: str = "no", **details: str) -> Answer:
    """Respond with a typed error."""
    report = {"code": code, "message": "scripted error", "ran": ran, "details": details}
    return says({"error": report}, status=status)


def ran(body: str, status: int) -> Answer:
    """Respond as a backend server that has run the request."""

    def answer(handler: RequestHandler) -> None:
        handler.set_status(status)
        handler.set_header("Ran", "yes")
        handler.write(body)

    return answer


def hangs_up(handler: RequestHandler) -> None:
    """Close the connection without a response."""
    stream = handler.request.connection.stream  # type: ignore[union-attr]
    handler._finished = True
    stream.close()


def streams(*lines: str) -> Answer:
    """Respond with lines as a streamed body."""

    async def answer(handler: RequestHandler) -> None:
        for line in lines:
            handler.write(line + "\n")
        await handler.flush()

    return answer


def run(
    work: Callable[[ScriptedServer], Awaitable[object]], *answers: Answer
) -> ScriptedServer:
    """Run `work` with a server that sends the given responses."""
    server = ScriptedServer(*answers)

    async def body() -> None:
        async with server.running():
            await asyncio.wait_for(work(server), 20)

    asyncio.run(body())
    return server
