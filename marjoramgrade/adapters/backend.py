"""Requests to backend servers over HTTP."""

from __future__ import annotations

import json

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from marjoramgrade.errors import (
    AnswerTimeoutError,
    BackendFailedError,
    NoBackendError,
    NotOwnerError,
    OutcomeUnknownError,
)
from marjoramgrade.messages import FenceBackend, RunReply, RunRequest
from marjoramgrade.model import Instance

CONNECT_TIMEOUT_MS = 500
FENCE_TIMEOUT_MS = 2_000
HTTP_CONFLICT = 409
HTTP_FAILURES = range(500, 600)
# A backend server takes 64 connections from all entry instances together. After
# a takeover the previous owner's connections may still be open.
MAX_CLIENTS = 1_000


class BackendClient:
    """Sends requests to backend servers.

    Args:
        max_answer_bytes: Largest answer that is taken.
    """

    def __init__(self, max_answer_bytes: int) -> None:
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=max_answer_bytes,
        )

    def close(self) -> None:
        """Release the connections."""
        self._client.close()

    async def run(
        self, backend: Instance, epoch: int, request: RunRequest, timeout_ms: int
    ) -> RunReply:
        """Send a request and return the whole answer.

        Raises:
            NoBackendError: If no byte left; the request did not run.
            NotOwnerError: If the server refused the epoch; it did not run.
            BackendFailedError: If the server ran it and failed.
            OutcomeUnknownError: If the answer was lost.
        """
        headers = {
            "Epoch": str(epoch),
            "Request-Id": request.request_id,
            "Team": request.team,
            "Deadline-Ms": str(timeout_ms),
        }
        fetch = HTTPRequest(
            f"http://{backend.host}:{backend.port}/run",
            method="POST",
            headers=headers,
            body=request.body,
            connect_timeout=min(CONNECT_TIMEOUT_MS, timeout_ms) / 1000,
            request_timeout=timeout_ms / 1000,
        )
        try:
            response = await self._client.fetch(fetch, raise_error=False)
        except ConnectionRefusedError as error:
            raise NoBackendError(f"{backend.instance_id} refused: {error}") from error
        except HTTPTimeoutError as error:
            if "connecting" in str(error):
                raise NoBackendError(f"{backend.instance_id}: {error}") from error
            raise AnswerTimeoutError(f"{backend.instance_id}: {error}") from error
        except (HTTPStreamClosedError, HTTPClientError, OSError) as error:
            raise OutcomeUnknownError(f"{backend.instance_id}: {error}") from error
        if response.code == HTTP_CONFLICT:
            raise NotOwnerError(f"{backend.instance_id} has seen a newer epoch")
        if response.code in HTTP_FAILURES:
            raise BackendFailedError(
                f"{backend.instance_id} answered {response.code}",
                status=str(response.code),
            )
        return RunReply(response.code, response.body, backend.instance_id)

    async def fence(self, backend: Instance, epoch: int) -> FenceBackend:
        """Raise the server's epoch and return the slots in use.

        Raises:
            NotOwnerError: If the server has seen a newer epoch.
            NoBackendError: If the server gave no usable answer.
        """
        fetch = HTTPRequest(
            f"http://{backend.host}:{backend.port}/fence",
            method="POST",
            headers={"Epoch": str(epoch)},
            body=b"",
            connect_timeout=CONNECT_TIMEOUT_MS / 1000,
            request_timeout=FENCE_TIMEOUT_MS / 1000,
        )
        try:
            response = await self._client.fetch(fetch, raise_error=False)
            if response.code == HTTP_CONFLICT:
                raise NotOwnerError(f"{backend.instance_id} has seen a newer epoch")
            answer = json.loads(response.body)
            return FenceBackend(int(answer["in_use"]), int(answer["slots"]))
        except (HTTPClientError, OSError, ValueError, KeyError, TypeError) as error:
            raise NoBackendError(f"{backend.instance_id}: {error}") from error
