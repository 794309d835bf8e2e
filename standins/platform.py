"""Stand-in for the platform: table service, object store and instance list.

The control handler sets the published list, `instances`, and the faults: `down` (no
responses), `slow_ms` (delay of every response), `lose_answers` (number of commits
that take effect but get no response) and `cut` (ids of instances that get no
response).
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from marjoramgrade.errors import CheckFailedError
from marjoramgrade.table import MemoryTable, Transaction


@attrs.define
class PlatformState:
    """The data, faults and counters of a stand-in platform.

    Attributes:
        table: Rows of the table service.
        object_by_key: Contents of the objects in the object store.
        instances: Published list of instances.
        down: Whether no request gets a response.
        slow_ms: Delay of every response.
        lose_answers: How many of the next commits get no response.
        cut: Ids of instances that get no response.
        transactions: Number of commits.
        rows_written: Number of rows that the commits wrote.
        reads: Number of requests that read rows.
    """

    table: MemoryTable = attrs.field(factory=MemoryTable)
    object_by_key: dict[str, bytes] = attrs.field(factory=dict)
    instances: list[dict[str, Any]] = attrs.field(factory=list)
    down: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    cut: list[str] = attrs.field(factory=list)
    transactions: int = 0
    rows_written: int = 0
    reads: int = 0


class _Handler(RequestHandler):
    def initialize(self, state: PlatformState) -> None:
        self.state = state

    async def prepare(self) -> None:
        if self.state.slow_ms:
            await asyncio.sleep(self.state.slow_ms / 1000)
        if self.state.down or self.request.headers.get("Instance") in self.state.cut:
            self.drop()

    def drop(self) -> None:
        """Close the connection without a response."""
        self.request.connection.stream.close()  # type: ignore[union-attr]
        self._finished = True


class TransactionHandler(_Handler):
    """Applies a transaction."""

    def post(self) -> None:
        body = json.loads(self.request.body)
        transaction = Transaction(body["checks"], body["writes"], body["write_id"])
        try:
            version = self.state.table.apply(transaction)
        except CheckFailedError as error:
            self.set_status(409)
            self.write({"versions": error.current_version_by_key})
            return
        self.state.transactions += 1
        self.state.rows_written += len(transaction.writes)
        if self.state.lose_answers:
            self.state.lose_answers -= 1
            self.drop()
            return
        self.write({"version": version})


class RowsHandler(_Handler):
    """Returns the rows of a key or a prefix that changed after a version."""

    def get(self) -> None:
        self.state.reads += 1
        key = self.get_query_argument("key", "")
        page = self.state.table.scan(
            key or self.get_query_argument("prefix"),
            int(self.get_query_argument("after", "0")),
        )
        rows = [attrs.asdict(r) for r in page.rows if not key or r.key == key]
        self.write({"version": page.version, "rows": rows})


class InstancesHandler(_Handler):
    """Returns the list of instances."""

    def get(self) -> None:
        self.write({"instances": self.state.instances})


class ObjectHandler(_Handler):
    """Stores and returns objects."""

    def put(self, key: str) -> None:
        self.state.object_by_key[key] = self.request.body

    def get(self, key: str) -> None:
        if key not in self.state.object_by_key:
            self.set_status(404)
            return
        self.write(self.state.object_by_key[key])


class ControlHandler(RequestHandler):
    """Returns the counters of the stand-in and sets its faults."""

    def initialize(self, state: PlatformState) -> None:
        self.state = state

    def get(self) -> None:
        self.write(
            {
                "transactions": self.state.transactions,
                "rows_written": self.state.rows_written,
                "reads": self.state.reads,
            }
        )

    def post(self) -> None:
        for name, value in json.loads(self.request.body).items():
            setattr(self.state, name, value)
        self.write({})


def make_application(state: PlatformState) -> Application:
    """Return the HTTP application of a stand-in platform."""
    arguments = {"state": state}
    return Application(
        [
            (r"/v1/transaction", TransactionHandler, arguments),
            (r"/v1/rows", RowsHandler, arguments),
            (r"/v1/instances", InstancesHandler, arguments),
            (r"/v1/objects/(.+)", ObjectHandler, arguments),
            (r"/control", ControlHandler, arguments),
        ]
    )


async def main(host: str, port: int) -> None:
    """Serve until the process is killed."""
    server = HTTPServer(make_application(PlatformState()))
    server.listen(port, address=host)
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2])))
