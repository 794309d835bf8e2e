"""Requests of the platform client to a scripted server."""

import asyncio
import contextlib
from collections.abc import Callable

import pytest
from tornado.httputil import HTTPHeaders
from tornado.web import RequestHandler

from marjoramgrade.adapters.httppool import HttpResponse
from marjoramgrade.adapters.platformclient import (
    HttpTable,
    InstanceList,
    PlatformClient,
)
from marjoramgrade.errors import MarjoramgradeError, TableUnavailableError
from marjoramgrade.table import Transaction
from tests.scriptedserver import ScriptedServer, says

WORKER = {
    "instance_id": "w-1",
    "kind": "worker",
    "zone": "leeds",
    "host": "127.0.0.1",
    "port": 9,
    "capacity": {"cpu_millis": 1},
}
NEWER = {**WORKER, "instance_id": "w-2"}


def _not_modified(handler: RequestHandler) -> None:
    handler.set_status(304)


def _without_tag(body: object) -> Callable[[RequestHandler], None]:
    def answer(handler: RequestHandler) -> None:
        handler.compute_etag = lambda: None  # type: ignore[method-assign]
        handler.write(body)  # type: ignore[arg-type]

    return answer


def test_an_unchanged_list_is_not_sent_again() -> None:
    """Guards against each instance downloading a list of 435 KB every second."""

    async def run() -> tuple[list[list[str]], list[str]]:
        script = ScriptedServer(
            says({"instances": [WORKER]}, version=1),
            _not_modified,
            says({"instances": [WORKER, NEWER]}, version=2),
        )
        async with script.running():
            instance_list = InstanceList(PlatformClient(script.url, "e-1"))
            ids_per_read = [
                [i.instance_id for i in await instance_list.read()] for _ in range(3)
            ]
        sent_tags = [r.headers.get("If-None-Match", "") for r in script.requests]
        return ids_per_read, sent_tags

    ids_per_read, sent_tags = asyncio.run(run())
    assert ids_per_read == [["w-1"], ["w-1"], ["w-1", "w-2"]]
    assert sent_tags == ["", '"1"', '"1"']


def test_a_platform_without_tags_is_read_whole() -> None:
    """Guards against a stale list if the platform sends no ETag."""

    async def run() -> list[list[str]]:
        script = ScriptedServer(
            _without_tag({"instances": [WORKER]}),
            _without_tag({"instances": [NEWER]}),
        )
        async with script.running():
            instance_list = InstanceList(PlatformClient(script.url, "e-1"))
            return [
                [i.instance_id for i in await instance_list.read()] for _ in range(2)
            ]

    assert asyncio.run(run()) == [["w-1"], ["w-2"]]


def test_an_unrequested_not_modified_is_an_error() -> None:
    """Guards against losing all workers to an empty list after an unexpected 304."""

    async def run() -> None:
        script = ScriptedServer(_not_modified)
        async with script.running():
            await InstanceList(PlatformClient(script.url, "e-1")).read()

    with pytest.raises(TableUnavailableError):
        asyncio.run(run())


ODD_ANSWERS = [
    b"",
    b"[]",
    b"7",
    b"{}",
    b'{"rows": 7, "version": 1, "instances": 7}',
    b'{"rows": [7], "version": 1, "instances": [7]}',
    b'{"rows": [{"key": 5, "version": 1, "write_id": "", "value": 1}], "version": 1}',
    b'{"rows": [], "version": "x", "versions": [], "instances": null}',
    b'{"rows": [], "version": 1e999, "versions": 5}',
    b'{"rows": "\\ud800", "version": null}',
    b"[" * 60_000 + b"]" * 60_000,
    b"9" * 5_000,
    b"\xff\xfe",
]


@pytest.mark.parametrize("status", [200, 409, 500])
@pytest.mark.parametrize("body", ODD_ANSWERS, ids=range(len(ODD_ANSWERS)))
def test_odd_answer_of_the_platform_is_a_typed_error(body, status):
    # Guards against an error of the parser in a task that reads the table at intervals,
    # which ended the process.
    async def respond(*_args, **_kwargs):
        return HttpResponse(status, body, HTTPHeaders())

    async def run():
        client = PlatformClient("http://127.0.0.1:1", "a")
        client._pool.request = respond
        table = HttpTable(client)
        for call in (
            table.read("a"),
            table.changes("a"),
            table.commit(Transaction({}, {"a": 1})),
            InstanceList(client).read(),
        ):
            with contextlib.suppress(MarjoramgradeError):
                await call
        client.close()

    asyncio.run(run())
