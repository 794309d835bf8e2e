"""Requests to backend servers over HTTP."""

from __future__ import annotations

import json

from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
    HttpResponse,
    HttpResponseTimeoutError,
)
from marjoramgrade.errors import (
    AnswerTimeoutError,
    BackendFailedError,
    NoBackendError,
    NotOwnerError,
    OutcomeUnknownError,
)
from marjoramgrade.messages.requests import BackendFenceReply, RunReply, RunRequest
from marjoramgrade.model import Instance

FENCE_TIMEOUT_MS = 2_000
HTTP_CONFLICT = 409
HTTP_SERVER_ERRORS = range(500, 600)
# A backend server accepts 64 connections in total from all entry instances; its
# slots limit the concurrent requests of one instance.
MAX_CONNECTIONS = 64


class BackendClient:
    """Sends requests to backend servers over persistent connections.

    Args:
        max_response_bytes: Largest response accepted, in bytes.
    """

    def __init__(self, max_response_bytes: int) -> None:
        self._max_response_bytes = max_response_bytes
        self._pool_by_address: dict[str, HttpPool] = {}

    def close(self) -> None:
        """Close every connection."""
        for pool in self._pool_by_address.values():
            pool.close()

    async def run(
        self, backend: Instance, epoch: int, request: RunRequest, timeout_ms: int
    ) -> RunReply:
        """Send a request and return the complete response.

        Raises:
            NoBackendError: If nothing was sent; the request did not run.
            NotOwnerError: If the server refused the epoch; the request did not run.
            BackendFailedError: If the server ran the request and failed.
            OutcomeUnknownError: If no complete response arrived; the request may have
                run. An `AnswerTimeoutError` if the timeout expired.
        """
        headers = {
            "Epoch": str(epoch),
            "Request-Id": request.request_id,
            "Team": request.team,
            "Deadline-Ms": str(timeout_ms),
        }
        try:
            answer = await self._post(
                backend, "/run", headers, request.body, timeout_ms
            )
        except HttpNotSentError as error:
            raise NoBackendError(f"{backend.instance_id}: {error}") from error
        except HttpResponseTimeoutError as error:
            raise AnswerTimeoutError(f"{backend.instance_id}: {error}") from error
        except HttpNoResponseError as error:
            raise OutcomeUnknownError(f"{backend.instance_id}: {error}") from error
        if answer.status == HTTP_CONFLICT:
            raise NotOwnerError(f"{backend.instance_id} has seen a newer epoch")
        if answer.status in HTTP_SERVER_ERRORS:
            raise BackendFailedError(
                f"{backend.instance_id} responded with status {answer.status}",
                status=str(answer.status),
            )
        return RunReply(answer.status, answer.body, backend.instance_id)

    async def fence(self, backend: Instance, epoch: int) -> BackendFenceReply:
        """Raise the server's epoch and return its used and total slots.

        Raises:
            NotOwnerError: If the server has seen a newer epoch.
            NoBackendError: If the server gave no usable response.
        """
        try:
            answer = await self._post(
                backend, "/fence", {"Epoch": str(epoch)}, b"", FENCE_TIMEOUT_MS
            )
            if answer.status == HTTP_CONFLICT:
                raise NotOwnerError(f"{backend.instance_id} has seen a newer epoch")
            document = json.loads(answer.body)
            return BackendFenceReply(int(document["in_use"]), int(document["slots"]))
        except (
            HttpNotSentError,
            HttpNoResponseError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            raise NoBackendError(f"{backend.instance_id}: {error}") from error

    async def _post(
        self,
        backend: Instance,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout_ms: int,
    ) -> HttpResponse:
        pool = self._get_pool(f"{backend.host}:{backend.port}")
        return await pool.request(
            "POST", path, timeout_ms=timeout_ms, body=body, headers=headers
        )

    def _get_pool(self, address: str) -> HttpPool:
        pool = self._pool_by_address.get(address)
        if pool is None:
            self._pool_by_address = {
                known: existing
                for known, existing in self._pool_by_address.items()
                if not existing.is_empty
            }
            pool = HttpPool(address, MAX_CONNECTIONS, self._max_response_bytes)
            self._pool_by_address[address] = pool
        return pool
