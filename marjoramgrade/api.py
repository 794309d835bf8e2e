"""High-level client of the HTTP interface of an entry instance."""

from __future__ import annotations

import urllib.parse
import uuid
from collections.abc import AsyncIterator
from typing import Any, Generic, Self, TypeVar

import attrs

from marjoramgrade import documents, jsontext, watchclient
from marjoramgrade.documents import Document
from marjoramgrade.errors import InvalidInputError, OutcomeUnknownError, ProtocolError
from marjoramgrade.model import Job, JobSpec
from marjoramgrade.resourcekinds import KEYS, ResourceKind
from marjoramgrade.transport import Response, Transport
from marjoramgrade.watchclient import WatchEvent

T = TypeVar("T")
DEFAULT_DEADLINE_MS = 10_000
# The server responds at the deadline; the margin lets the response arrive.
RESPONSE_MARGIN_MS = 2_000


@attrs.frozen
class Versioned(Generic[T]):
    """A resource and the version at which it last changed."""

    value: T
    version: int


@attrs.frozen
class Listing(Generic[T]):
    """All resources of a type.

    Attributes:
        version: Version up to which the list is complete; a watch of later changes
            starts after it.
        items: The resources.
    """

    version: int
    items: tuple[T, ...]


class Client:
    """Client of one entry instance or load balancer.

    Args:
        transport: Sends the requests; closed with the client.
    """

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    @classmethod
    def from_url(cls, base_url: str, secret: str = "") -> Self:
        """Return a client.

        Args:
            base_url: `http://HOST:PORT`.
            secret: Secret of the client's key; empty to send no key.
        """
        return cls(Transport(base_url, secret))

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_: object) -> None:
        self._transport.close()

    async def list(self, kind: ResourceKind[T]) -> Listing[T]:
        """Return all resources of a type.

        Raises:
            MarjoramgradeError: The error that the server reported.
        """
        answer = await self._transport.send("GET", f"/v1/{kind.plural}")
        return _parse_listing(answer, kind)

    async def get(self, kind: ResourceKind[T], name: str) -> Versioned[T]:
        """Return one resource.

        Raises:
            NotFoundError: If it does not exist.
        """
        answer = await self._transport.send("GET", _path(kind.plural, name))
        return Versioned(_parse_resource(kind, answer.document()), answer.version())

    async def put(
        self, kind: ResourceKind[T], value: T, expected_version: int | None = None
    ) -> int:
        """Create or replace a resource.

        Args:
            kind: The type.
            value: The resource.
            expected_version: The version that the change is based on; zero if the
                resource must not exist, None for an unconditional change.

        Returns:
            The version of the resource after the change.

        Raises:
            ConflictError: If the resource has another version.
            OutcomeUnknownError: If the response was lost.
        """
        document = kind.serialize(value)
        path = _path(kind.plural, str(document["name"]))
        return (await self._put(path, document, expected_version)).version()

    async def delete(
        self, kind: ResourceKind[T], name: str, expected_version: int | None = None
    ) -> int:
        """Delete a resource and return the configuration's version after the change.

        Raises:
            NotFoundError: If it does not exist.
            ConflictError: If it has another version than expected.
            OutcomeUnknownError: If the response was lost.
        """
        answer = await self._transport.send(
            "DELETE", _path(kind.plural, name), headers=_if_match(expected_version)
        )
        return answer.version()

    async def grant_key(self, name: str, team: str) -> str:
        """Create a key and return its secret, which cannot be read later.

        Raises:
            ConflictError: If a key of this name exists.
            OutcomeUnknownError: If the response was lost; delete the key in this case.
        """
        answer = await self._put(_path(KEYS.plural, name), {"team": team}, 0)
        secret = _parse_object(answer).get("secret")
        if type(secret) is not str or not secret:
            raise ProtocolError("the response contains no secret")
        return secret

    async def submit(self, spec: JobSpec, job_id: str = "") -> Job:
        """Submit a job.

        Args:
            spec: What to run.
            job_id: Unique id; a new one if empty. Submitting the same job with the
                same id again is safe.

        Raises:
            OutcomeUnknownError: If the response was lost; `details` has the `job_id`.
        """
        job_id = job_id or uuid.uuid4().hex
        document = {"job_id": job_id, "spec": documents.serialize_job_spec(spec)}
        try:
            answer = await self._send_document("POST", "/v1/jobs", document)
        except OutcomeUnknownError as error:
            error.details["job_id"] = job_id
            raise
        return _parse_job(answer.document())

    async def get_job(self, job_id: str) -> Job:
        """Return a job."""
        answer = await self._transport.send("GET", _path("jobs", job_id))
        return _parse_job(answer.document())

    async def cancel_job(self, job_id: str) -> Job:
        """Request that a job's open tasks are cancelled and return the job."""
        answer = await self._transport.send("DELETE", _path("jobs", job_id))
        return _parse_job(answer.document())

    async def list_jobs(self) -> Listing[Job]:
        """Return all jobs."""
        return _parse_listing(await self._transport.send("GET", "/v1/jobs"), _JOBS)

    async def list_tasks(self, job_id: str) -> tuple[Document, ...]:
        """Return the tasks of a job as the server's JSON objects."""
        return await self._list_documents(_path("jobs", job_id) + "/tasks")

    async def list_workers(self) -> tuple[Document, ...]:
        """Return the workers as the server's JSON objects."""
        return await self._list_documents("/v1/workers")

    async def list_backends(self) -> tuple[Document, ...]:
        """Return the backend servers as the server's JSON objects."""
        return await self._list_documents("/v1/backends")

    async def status(self) -> Document:
        """Return the state of the entry instance that responds."""
        return _parse_object(await self._transport.send("GET", "/v1/status"))

    async def run(
        self,
        service: str,
        body: bytes,
        *,
        deadline_ms: int = DEFAULT_DEADLINE_MS,
        request_id: str = "",
        idempotent: bool = False,
    ) -> bytes:
        """Run a request and return the complete response body.

        Args:
            service: Name of the service.
            body: Opaque bytes for the service.
            deadline_ms: Time within which the server has to respond.
            request_id: Unique id; a new one if empty.
            idempotent: Whether the request may run more than once.

        Raises:
            RefusedError: If the request has not run.
            OutcomeUnknownError: If the request may have run.
        """
        headers = {
            "Request-Id": request_id or uuid.uuid4().hex,
            "Deadline-Ms": str(deadline_ms),
            "Idempotent": "true" if idempotent else "false",
        }
        answer = await self._transport.send(
            "POST",
            _path("run", service),
            body=body,
            headers=headers,
            timeout_ms=deadline_ms + RESPONSE_MARGIN_MS,
        )
        return answer.body

    def watch(self, after: int | None = None) -> AsyncIterator[WatchEvent]:
        """Return an iterator over every change after a version, or from now on.

        Raises:
            WatchResetError: While iterating, if changes were missed.
            ServerUnreachableError: While iterating, if no attempt succeeds.
        """
        return watchclient.iter_events(self._transport, after)

    async def _put(
        self, path: str, document: Document, expected_version: int | None
    ) -> Response:
        return await self._send_document("PUT", path, document, expected_version)

    async def _send_document(
        self,
        method: str,
        path: str,
        document: Document,
        expected_version: int | None = None,
    ) -> Response:
        headers = {"Content-Type": "application/json", **_if_match(expected_version)}
        body = jsontext.serialize_text(document).encode()
        return await self._transport.send(method, path, body=body, headers=headers)

    async def _list_documents(self, path: str) -> tuple[Document, ...]:
        items = _parse_object(await self._transport.send("GET", path)).get("items")
        if type(items) is not list or not all(type(item) is dict for item in items):
            raise ProtocolError("the response contains no list of objects")
        return tuple(items)


def _parse_versioned_job(document: object) -> Job:
    """Parse a job; the server adds the version of its row to the document."""
    if type(document) is dict:
        document = {k: v for k, v in document.items() if k != "version"}
    return documents.parse_job(document)


_JOBS = ResourceKind[Job]("jobs", _parse_versioned_job, documents.serialize_job)


def _path(plural: str, name: str) -> str:
    return f"/v1/{plural}/{urllib.parse.quote(name, safe='')}"


def _if_match(expected_version: int | None) -> dict[str, str]:
    return {} if expected_version is None else {"If-Match": str(expected_version)}


def _parse_object(answer: Response) -> dict[str, Any]:
    document = answer.document()
    if type(document) is not dict:
        raise ProtocolError("the response is not an object")
    return document


def _parse_resource(kind: ResourceKind[T], document: object) -> T:
    try:
        return kind.parse(document)
    except InvalidInputError as error:
        raise ProtocolError(error.message) from None


def _parse_job(document: object) -> Job:
    return _parse_resource(_JOBS, document)


def _parse_listing(answer: Response, kind: ResourceKind[T]) -> Listing[T]:
    document = _parse_object(answer)
    version, items = document.get("version"), document.get("items")
    if type(version) is not int or type(items) is not list:
        raise ProtocolError("the response contains no version or no list")
    return Listing(version, tuple(_parse_resource(kind, item) for item in items))
