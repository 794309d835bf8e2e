import asyncio
import json
import pathlib

import pytest
from hypothesis import given

from marjoramgrade import errors, model
from marjoramgrade.api import Client, Listing, Versioned
from marjoramgrade.resourcekinds import (
    KEYS,
    RESOURCE_KINDS,
    SERVICES,
    TEAMS,
    ZONES,
    KeySummary,
)
from marjoramgrade.transport import ServerUnreachableError, parse_error
from standins.cell import OPERATOR_SECRET, Cell
from tests import strategies
from tests.scriptedserver import Answer, ScriptedServer, fails, hangs_up, ran, run, says

SPEC = model.JobSpec("a", model.JobKind.BATCH, tasks=2)
JOB = model.Job.from_spec("j1", SPEC, "z.0")


def job_document() -> dict[str, object]:
    from marjoramgrade.documents import serialize_job

    return serialize_job(JOB)


def test_resources_are_sent_with_their_versions() -> None:
    """Guards against changes that overwrite another operator's change."""

    async def work(server: ScriptedServer) -> None:
        async with Client.from_url(server.url, "hush") as client:
            assert await client.list(TEAMS) == Listing(4, (model.Team("a"),))
            assert await client.get(ZONES, "n") == Versioned(model.Zone("n"), 3)
            assert await client.put(ZONES, model.Zone("n"), 3) == 5
            assert await client.delete(KEYS, "k/../x") == 6

    server = run(
        work,
        says({"version": 4, "items": [{"name": "a"}]}),
        says({"name": "n", "state": "in"}, version=3),
        says({}, version=5),
        says({}, version=6),
    )
    sent = [(r.method, r.uri, r.headers.get("If-Match")) for r in server.requests]
    assert sent == [
        ("GET", "/v1/teams", None),
        ("GET", "/v1/zones/n", None),
        ("PUT", "/v1/zones/n", "3"),
        ("DELETE", "/v1/keys/k%2F..%2Fx", None),
    ]
    assert {r.headers["Authorization"] for r in server.requests} == {"Bearer hush"}


def test_a_granted_key_must_be_new_and_its_secret_is_returned() -> None:
    """Guards against a key that silently replaces another team's key."""

    async def work(server: ScriptedServer) -> None:
        async with Client.from_url(server.url) as client:
            assert await client.grant_key("k", "a") == "s3cret"

    server = run(work, says({"name": "k", "secret": "s3cret"}, version=1))
    assert server.requests[0].headers["If-Match"] == "0"


def test_jobs_and_requests_carry_unique_ids() -> None:
    """Guards against repeated work that the server cannot recognise as repeated."""

    async def work(server: ScriptedServer) -> None:
        async with Client.from_url(server.url) as client:
            assert await client.submit(SPEC) == JOB
            assert await client.get_job("j1") == JOB
            assert await client.cancel_job("j1") == JOB
            assert await client.run("svc", b"\x00in", idempotent=True) == b"out"

    responses = [says({**job_document(), "version": 7})] * 3 + [says(b"out")]
    submit, _, _, request = run(work, *responses).requests
    assert len(json.loads(submit.body)["job_id"]) == 32
    assert request.headers["Idempotent"] == "true"
    assert len(request.headers["Request-Id"]) == 32
    assert request.body == b"\x00in"


@pytest.mark.parametrize(
    ("answer", "kind", "outcome"),
    [
        (fails("over_limit", 429), errors.OverLimitError, "no"),
        (fails("conflict", 412, current_version="9"), errors.ConflictError, "no"),
        (fails("duplicate_request", 409, "yes"), errors.DuplicateRequestError, "yes"),
        (fails("new_code", 500, "unknown"), errors.MarjoramgradeError, "unknown"),
        (says("<html>", status=502), errors.OutcomeUnknownError, "unknown"),
        (says("<html>", status=404), errors.ProtocolError, "no"),
        (ran("no stock", 500), errors.BackendFailedError, "yes"),
        (hangs_up, errors.OutcomeUnknownError, "unknown"),
    ],
)
def test_every_failure_of_a_request_has_its_type(
    answer: Answer, kind: type[errors.MarjoramgradeError], outcome: str
) -> None:
    """Guards against "not run" for a request that may have run (invariant 7)."""

    async def work(server: ScriptedServer) -> None:
        async with Client.from_url(server.url) as client:
            with pytest.raises(kind) as caught:
                await client.run("svc", b"")
        assert type(caught.value) is kind
        assert caught.value.ran.value == outcome

    assert len(run(work, answer).requests) == 1


def test_a_lost_answer_to_a_submission_names_the_job() -> None:
    """Guards against a job that runs and that its client cannot find."""

    async def work(server: ScriptedServer) -> None:
        async with Client.from_url(server.url) as client:
            with pytest.raises(errors.OutcomeUnknownError) as caught:
                await client.submit(SPEC, "mine")
        assert caught.value.details["job_id"] == "mine"

    run(work, hangs_up)


def test_a_server_that_is_not_there_is_unreachable() -> None:
    """Guards against "outcome unknown" for work that was never sent."""

    async def attempt() -> None:
        server = ScriptedServer()
        async with server.running():
            url = server.url
        async with Client.from_url(url) as client:
            with pytest.raises(ServerUnreachableError):
                await client.run("svc", b"")

    asyncio.run(attempt())


@pytest.mark.parametrize("body", ["{", "[]", {"version": "1", "items": []}, {"a": 1}])
def test_a_broken_answer_is_a_protocol_error(body: object) -> None:
    """Guards against a client that shows an empty list for an invalid response."""

    async def work(server: ScriptedServer) -> None:
        async with Client.from_url(server.url) as client:
            with pytest.raises(errors.ProtocolError):
                await client.list(TEAMS)

    run(work, says(body))


@given(strategies.arbitrary_values)
def test_any_error_document_becomes_a_typed_error(report: object) -> None:
    """Guards against an error response that raises an untyped error in the client."""
    for document in (report, {"error": report}):
        body = json.dumps(document).encode()
        error = parse_error("POST", 500, body)
        assert isinstance(error, errors.MarjoramgradeError)
        assert error.ran is errors.Ran.UNKNOWN


def test_every_kind_of_resource_survives_a_round_trip() -> None:
    """Guards against a resource type that cannot be written back."""
    assert list(RESOURCE_KINDS.iter_names()) == ["keys", "services", "teams", "zones"]
    key = KeySummary("k", "a")
    assert KEYS.parse(KEYS.serialize(key)) == key


def test_the_client_and_the_entry_instance_agree(tmp_path: pathlib.Path) -> None:
    """Guards against a client and a server with different formats."""

    async def configure(cell: Cell, client: Client) -> str:
        async def is_admitted() -> bool:
            try:
                await client.put(ZONES, model.Zone("spare"), None)
            except errors.StaleAuthorityError:
                return False
            return True

        await cell.wait_until(is_admitted)
        for zone in ("leeds", "manchester"):
            await client.put(ZONES, model.Zone(zone), 0)
        await client.put(SERVICES, model.Service("charity-accounts"), 0)
        version = await client.put(TEAMS, model.Team("a", share=2), 0)
        assert await client.get(TEAMS, "a") == Versioned(
            model.Team("a", share=2), version
        )
        with pytest.raises(errors.ConflictError) as caught:
            await client.put(TEAMS, model.Team("a"), version - 1)
        assert caught.value.current_version == version
        secret = await client.grant_key("k", "a")
        assert (await client.list(KEYS)).items == (KeySummary("k", "a"),)
        return secret

    async def work(cell: Cell) -> None:
        first, second = cell.running_entries()
        operator = Client.from_url(first.url, OPERATOR_SECRET)
        async with operator, Client.from_url(second.url) as unauthenticated:
            secret = await configure(cell, operator)
            await cell.wait_for_shards()
            assert len(await operator.list_workers()) == 8
            with pytest.raises(errors.UnauthenticatedError):
                await unauthenticated.get_job("j1")
            watching = asyncio.ensure_future(watch_until_done(operator))
            async with Client.from_url(second.url, secret) as client:
                spec = model.JobSpec("a", model.JobKind.BATCH, tasks=2, run_ms=20)
                assert (await client.submit(spec, "j1")).spec == spec
                answer = await client.run("charity-accounts", b'{"work_ms":5}')
                assert answer == b'{"work_ms":5}'
                done = await asyncio.wait_for(watching, 20)
                assert done == (await client.get_job("j1")).outcomes == "dd"

    async def watch_until_done(client: Client) -> str:
        async for event in client.watch(0):
            document = event.document or {}
            if event.name == "j1" and document["state"] == "done":
                return str(document["outcomes"])
        raise AssertionError("the watch ended")

    async def body() -> None:
        async with Cell(tmp_path) as cell:
            await work(cell)

    asyncio.run(body())
