"""Client of the platform's table service and instance list, JSON over HTTP."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any, TypeVar
from urllib.parse import urlencode, urlsplit

import attrs

from marjoramgrade import jsontext
from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    HttpResponse,
)
from marjoramgrade.documents import parse_instance
from marjoramgrade.errors import (
    CheckFailedError,
    InvalidInputError,
    ProtocolError,
    TableUnavailableError,
    WriteOutcomeUnknownError,
)
from marjoramgrade.model import Instance
from marjoramgrade.table import Row, RowsPage, Table, Transaction

T = TypeVar("T")

REQUEST_TIMEOUT_MS = 2_500
# Reads of the instance list, of rows and of jobs run concurrently with commits.
MAX_CONNECTIONS = 16
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_NOT_MODIFIED = 304
MAX_RESPONSE_BYTES = 64 * 1_048_576


@attrs.frozen
class TaggedDocument:
    """A JSON document with its version.

    Attributes:
        document: The parsed document.
        tag: ETag of the version, or empty if the platform sent none.
    """

    document: Any
    tag: str


class PlatformClient:
    """Sends requests to the platform on behalf of one entry instance.

    Args:
        base_url: URL of the platform, `http://HOST:PORT` without a trailing slash.
        instance_id: Id of this instance, sent with each request.
    """

    def __init__(self, base_url: str, instance_id: str) -> None:
        self._headers = {"Instance": instance_id}
        self._pool = HttpPool(
            urlsplit(base_url).netloc, MAX_CONNECTIONS, MAX_RESPONSE_BYTES
        )

    def close(self) -> None:
        """Close every connection."""
        self._pool.close()

    async def get(self, path: str) -> Any:
        """Return the JSON document at a path.

        Raises:
            TableUnavailableError: If there was no usable response.
        """
        return _parse_document(path, await self._get(path, self._headers))

    async def get_if_changed(self, path: str, known_tag: str) -> TaggedDocument | None:
        """Return the JSON document at a path if it differs from a known version.

        Args:
            path: Path of the document.
            known_tag: ETag of the known version, or empty for none.

        Returns:
            The document and its tag, or None if the known version is current
            according to the platform.

        Raises:
            TableUnavailableError: If there was no usable response.
        """
        conditional_headers = {"If-None-Match": known_tag} if known_tag else {}
        answer = await self._get(path, {**self._headers, **conditional_headers})
        if answer.status == HTTP_NOT_MODIFIED and known_tag:
            return None
        document = _parse_document(path, answer)
        return TaggedDocument(document, answer.headers.get("Etag", ""))

    async def post(self, path: str, document: Any) -> tuple[int, dict[str, Any]]:
        """Send a JSON document and return the status and the document of the response.

        Raises:
            TableUnavailableError: If the request was not sent.
            WriteOutcomeUnknownError: If the request may have been processed.
        """
        body = json.dumps(document).encode()
        try:
            answer = await self._pool.request(
                "POST",
                path,
                timeout_ms=REQUEST_TIMEOUT_MS,
                body=body,
                headers=self._headers,
            )
        except HttpNotSentError as error:
            raise TableUnavailableError(error.message) from error
        except HttpNoResponseError as error:
            raise WriteOutcomeUnknownError(error.message) from error
        try:
            document = jsontext.parse_text(answer.body or b"{}")
        except InvalidInputError as error:
            raise WriteOutcomeUnknownError(f"the response: {error.message}") from error
        if not isinstance(document, dict):
            raise WriteOutcomeUnknownError("the response is not a JSON object")
        return answer.status, document

    async def _get(self, path: str, headers: dict[str, str]) -> HttpResponse:
        try:
            return await self._pool.request(
                "GET", path, timeout_ms=REQUEST_TIMEOUT_MS, headers=headers
            )
        except (HttpNotSentError, HttpNoResponseError) as error:
            raise TableUnavailableError(f"no response to {path}: {error}") from error


def _parse_document(path: str, answer: HttpResponse) -> Any:
    if answer.status != HTTP_OK:
        raise TableUnavailableError(f"unexpected status {answer.status} from {path}")
    try:
        return jsontext.parse_text(answer.body, max_bytes=MAX_RESPONSE_BYTES)
    except InvalidInputError as error:
        raise TableUnavailableError(
            f"response from {path} is not valid JSON: {error.message}"
        ) from error


class HttpTable(Table):
    """A `Table` that is stored by the platform's table service."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    async def commit(self, transaction: Transaction) -> int:
        """Apply a transaction; see `Table.commit`."""
        status, answer = await self._client.post(
            "/v1/transaction",
            {
                "checks": dict(transaction.checks),
                "writes": dict(transaction.writes),
                "write_id": transaction.write_id,
            },
        )
        versions, version = answer.get("versions"), answer.get("version")
        if status == HTTP_CONFLICT and isinstance(versions, dict):
            raise CheckFailedError("a row has changed", versions)
        if status != HTTP_OK or type(version) is not int:
            raise WriteOutcomeUnknownError(
                f"the table service responded with status {status}"
            )
        return version

    async def read(self, key: str) -> Row | None:
        """Read one row; see `Table.read`."""
        page = await self._read_page({"key": key})
        return page.rows[0] if page.rows else None

    async def changes(self, prefix: str, after: int = 0) -> RowsPage:
        """Read changed rows; see `Table.changes`."""
        return await self._read_page({"prefix": prefix, "after": after})

    async def _read_page(self, parameters: dict[str, str | int]) -> RowsPage:
        query = urlencode(parameters)
        answer = await self._client.get(f"/v1/rows?{query}")
        try:
            rows = tuple(_parse_row(row) for row in answer["rows"])
            return RowsPage(_checked(answer["version"], int), rows)
        except (KeyError, TypeError) as error:
            raise ProtocolError(
                f"invalid rows from the table service: {error}"
            ) from error


def _parse_row(row: Any) -> Row:
    """Return a row of the table service; its value is checked by who reads it.

    Raises:
        KeyError, TypeError: If a field is missing or has the wrong type.
    """
    key, write_id = _checked(row["key"], str), _checked(row["write_id"], str)
    return Row(key, _checked(row["version"], int), write_id, row["value"])


def _checked(value: Any, kind: type[T]) -> T:
    if type(value) is not kind:
        raise TypeError(f"a field is not of the type {kind.__name__}")
    return value


class InstanceList:
    """The platform's list of instances, which lags behind their actual state.

    With 2,000 workers the list is 435 KB and changes a few hundred times a day, so
    reads are conditional on the tag of the last known version.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client
        self._tag = ""
        self._instances: tuple[Instance, ...] = ()

    async def read(self) -> tuple[Instance, ...]:
        """Return the list without entries that cannot be parsed.

        Raises:
            TableUnavailableError: If there was no usable response from the platform.
            ProtocolError: If the response does not contain a list.
        """
        changed = await self._client.get_if_changed("/v1/instances", self._tag)
        if changed is not None:
            try:
                documents = list(changed.document["instances"])
            except (KeyError, TypeError) as error:
                raise ProtocolError(f"invalid instance list: {error}") from error
            self._instances = tuple(_iter_valid_instances(documents))
            self._tag = changed.tag
        return self._instances


def _iter_valid_instances(documents: list[Any]) -> Iterator[Instance]:
    for document in documents:
        try:
            yield parse_instance(document)
        except InvalidInputError:
            continue
