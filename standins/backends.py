"""Stand-in backend servers: each has one runner with a port of its own.

The body `{"work_ms": 20}` sets the run time of a request. The control handler
sets faults of a runner: `fail_all`, `slow_ms` (added to the run time), `drop`
(closes the connection without a response). The counters that it returns are the
reference for tests: runs by request id and the largest number of requests at once.
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
    """The runner of a stand-in backend server, with its faults and counters.

    Attributes:
        backend_id: Instance id of the backend server.
        slots: Number of requests that may run at once; not enforced here.
        fence: Refuses requests with an epoch older than the highest one seen.
        active: Number of requests running now.
        most_active: Largest value of `active` so far.
        runs: Number of runs by request id.
        teams: Number of runs by team.
        refused: Number of requests refused for a stale epoch.
        fail_all: Whether every request ends with status 500.
        drop: Whether the connection is closed instead of a response.
        slow_ms: Time added to every run, in ms.
    """

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
    """Runs a request for the time that its body gives."""

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
    """Raises the epoch and returns the number of slots and of slots in use."""

    def initialize(self, runner: Runner) -> None:
        self.runner = runner

    def post(self) -> None:
        epoch = int(self.request.headers["Epoch"])
        if not self.runner.fence.admit(epoch):
            self.set_status(409)
            return
        self.write({"in_use": self.runner.active, "slots": self.runner.slots})


class ControlHandler(RequestHandler):
    """Returns the counters of a runner and sets its faults."""

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
    """Start the HTTP server of a runner."""
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
    """Serve the runners listed in a JSON file until the process is killed."""
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
