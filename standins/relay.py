"""TCP relay that drops or stalls connections, for tests of partitions.

It reads its routes from a JSON file: the name of each target, the address on which
the relay listens for the target and the target's address. The control handler accepts
`rules`, a list of `[source, target, mode]`; an empty source or target matches all.
Mode `drop` closes connections and refuses new ones; `stall` leaves connections open
and holds all bytes back until the rule is removed.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

CHUNK_BYTES = 65_536


@attrs.frozen
class Route:
    """A target and the address on which the relay listens for it.

    Attributes:
        target: Name of the target in rules.
        listen_host: IP address on which the relay listens.
        listen_port: Port on which the relay listens.
        host: IP address of the target.
        port: Port of the target.
    """

    target: str
    listen_host: str
    listen_port: int
    host: str
    port: int


@attrs.define
class Relay:
    """Forwards connections under the rules in force.

    Attributes:
        rules: Source, target and mode of each rule; the first match applies.
        changed: Set, and replaced by a new event, at each change of the rules;
            stalled connections wait for it.
        running: Tasks of the open connections.
    """

    rules: list[list[str]] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    running: set[asyncio.Task[None]] = attrs.field(factory=set)

    def set_rules(self, rules: list[list[str]]) -> None:
        """Replace the rules for open and new connections."""
        self.rules = rules
        self.changed.set()
        self.changed = asyncio.Event()

    def mode(self, source: str, target: str) -> str:
        """Return the mode of the first matching rule, or `pass` if none matches."""
        for rule_source, rule_target, mode in self.rules:
            if rule_source in ("", source) and rule_target in ("", target):
                return mode
        return "pass"

    async def serve(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay a connection until either side or a rule closes it."""
        source = writer.get_extra_info("peername")[0]
        if not await self._may_pass(source, route.target):
            writer.close()
            return
        try:
            target_streams = await asyncio.open_connection(
                route.host, route.port, local_addr=(source, 0)
            )
        except OSError:
            writer.close()
            return
        tasks = {
            asyncio.ensure_future(
                self._forward(source, route.target, reader, target_streams[1])
            ),
            asyncio.ensure_future(
                self._forward(source, route.target, target_streams[0], writer)
            ),
            asyncio.ensure_future(self._wait_for_drop(source, route.target)),
        }
        self.running |= tasks
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        self.running -= tasks
        for task in tasks:
            task.cancel()
        writer.close()
        target_streams[1].close()

    async def _forward(
        self,
        source: str,
        target: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if not await self._may_pass(source, target):
                    return
                writer.write(data)
                await writer.drain()
        except OSError:
            return

    async def _may_pass(self, source: str, target: str) -> bool:
        """Wait while bytes are held back; return False if they are dropped."""
        while (mode := self.mode(source, target)) == "stall":
            await self.changed.wait()
        return mode == "pass"

    async def _wait_for_drop(self, source: str, target: str) -> None:
        while self.mode(source, target) != "drop":
            await self.changed.wait()


class ControlHandler(RequestHandler):
    """Replaces the rules."""

    def initialize(self, relay: Relay) -> None:
        self.relay = relay

    def post(self) -> None:
        self.relay.set_rules(json.loads(self.request.body)["rules"])
        self.write({})


async def main(path: str, host: str, port: int) -> None:
    """Relay the routes listed in a JSON file until the process is killed."""
    with open(path, encoding="utf-8") as file:
        documents: list[dict[str, Any]] = json.load(file)
    relay = Relay()
    for route in [Route(**document) for document in documents]:
        await asyncio.start_server(
            lambda reader, writer, route=route: relay.serve(  # type: ignore[misc]
                route, reader, writer
            ),
            route.listen_host,
            route.listen_port,
        )
    application = Application([(r"/control", ControlHandler, {"relay": relay})])
    HTTPServer(application).listen(port, address=host)
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2], int(sys.argv[3])))
