"""TCP relay that drops or stalls connections, for tests of partitions.

It reads its routes from a JSON file: the name of each target, where the relay
listens for it and where the target listens. The control handler takes `rules`,
a list of `[source, target, mode]`; an empty source or target matches all. `drop`
closes connections and refuses new ones; `stall` keeps them open and holds every
byte back until the rule is gone.
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
    """One target and the address at which the relay stands in for it."""

    target: str
    listen_host: str
    listen_port: int
    host: str
    port: int


@attrs.define
class Relay:
    """The rules in force; pumps wait for `changed` while they are stalled."""

    rules: list[list[str]] = attrs.field(factory=list)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    running: set[asyncio.Task[None]] = attrs.field(factory=set)

    def set_rules(self, rules: list[list[str]]) -> None:
        """Put rules in force for old and new connections."""
        self.rules = rules
        self.changed.set()
        self.changed = asyncio.Event()

    def mode(self, source: str, target: str) -> str:
        """Return what happens to bytes between a source and a target."""
        for rule_source, rule_target, mode in self.rules:
            if rule_source in ("", source) and rule_target in ("", target):
                return mode
        return "pass"

    async def serve(
        self, route: Route, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection until either side or a rule ends it."""
        source = writer.get_extra_info("peername")[0]
        if not await self._may_pass(source, route.target):
            writer.close()
            return
        try:
            there = await asyncio.open_connection(
                route.host, route.port, local_addr=(source, 0)
            )
        except OSError:
            writer.close()
            return
        pumps = {
            asyncio.ensure_future(self._pump(source, route.target, reader, there[1])),
            asyncio.ensure_future(self._pump(source, route.target, there[0], writer)),
            asyncio.ensure_future(self._wait_for_drop(source, route.target)),
        }
        self.running |= pumps
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        self.running -= pumps
        for pump in pumps:
            pump.cancel()
        writer.close()
        there[1].close()

    async def _pump(
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
    """Changes the rules."""

    def initialize(self, relay: Relay) -> None:
        self.relay = relay

    def post(self) -> None:
        self.relay.set_rules(json.loads(self.request.body)["rules"])
        self.write({})


async def main(path: str, host: str, port: int) -> None:
    """Relay what a JSON file lists until the process is ended."""
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
