"""Stand-in backend servers: each runner answers requests on its own port.

The body `{"work_ms": 20}` sets how long a request runs. The control handler
changes how a runner behaves: `fail_all`, `slow_ms`, `drop` (close without an
answer). Its counters are the record that tests trust: runs by request id and
the largest number of requests and connections at once.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections import Counter

import attrs
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from marjoramgrade.decisions.fencing import EpochFence

SLOTS = 8


@attrs.define
class Runner:
    """One stand-in runner."""

    backend_id: str
    slots: int = SLOTS
    fence: EpochFence = attrs.field(factory=EpochFence)
    active: int = 0
    most_active: int = 0
    runs: Counter[str] = attrs.field(factory=Counter)
    teams: Counter[str] = attrs.field(factory=Counter)
    refused: int = 0
    fail_all: bool = False
    drop: bool = False
    slow_ms: int = 0


class RunHandler(RequestHandler):
    """Runs one request."""

    def initialize(self, runner: Runner) -> None:
        self.runner = runner

    async def post(self) -> None:
        runner = self.runner
        if not runner.fence.admit(int(self.request.headers["Epoch"])):
            runner.refused += 1
            self.set_status(409)
            self.write({"ran": "no"})
            return
        runner.active += 1
        runner.most_active = max(runner.most_active, runner.active)
        runner.runs[self.request.headers["Request-Id"]] += 1
        runner.teams[self.request.headers.get("Team", "")] += 1
        try:
            await asyncio.sleep((self._work_ms() + runner.slow_ms) / 1000)
        finally:
            runner.active -= 1
        if runner.drop:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        if runner.fail_all:
            self.set_status(500)
        self.write(self.request.body)

    def _work_ms(self) -> float:
        try:
            return float(json.loads(self.request.body).get("work_ms", 0))
        except (ValueError, AttributeError):
            return 0


class FenceHandler(RequestHandler):
    """Raises the epoch and answers the slots in use."""

    def initialize(self, runner: Runner) -> None:
        self.runner = runner

    def post(self) -> None:
        epoch = int(self.request.headers["Epoch"])
        if not self.runner.fence.admit(epoch):
            self.set_status(409)
            return
        self.write({"in_use": self.runner.active, "slots": self.runner.slots})


class ControlHandler(RequestHandler):
    """Reads the counters of a runner and changes its behaviour."""

    def initialize(self, runner: Runner) -> None:
        self.runner = runner

    def get(self) -> None:
        self.write(
            {
                "runs": self.runner.runs,
                "teams": self.runner.teams,
                "active": self.runner.active,
                "most_active": self.runner.most_active,
                "refused": self.runner.refused,
            }
        )

    def post(self) -> None:
        for name, value in json.loads(self.request.body).items():
            setattr(self.runner, name, value)
        self.write({})


def serve(runner: Runner, host: str, port: int) -> HTTPServer:
    """Serve one runner on a port."""
    arguments = {"runner": runner}
    application = Application(
        [
            (r"/run", RunHandler, arguments),
            (r"/fence", FenceHandler, arguments),
            (r"/control", ControlHandler, arguments),
        ]
    )
    server = HTTPServer(application)
    server.listen(port, address=host)
    return server


async def main(path: str) -> None:
    """Serve the runners that a JSON file lists until the process is ended."""
    with open(path, encoding="utf-8") as file:
        documents = json.load(file)
    for document in documents:
        slots = document["capacity"].get("slots", SLOTS)
        runner = Runner(document["instance_id"], slots)
        serve(runner, document["host"], document["port"])
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
