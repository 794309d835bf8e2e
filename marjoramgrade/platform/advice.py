"""HTTP client of the placement advisor, a service of the platform."""

from __future__ import annotations

import msgspec

from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
)
from marjoramgrade.controllers.advising import AdvisorPort
from marjoramgrade.errors import AdvisorError
from marjoramgrade.messages.steps import AdvisedWorker, RequestAdvice, StepAdvice
from marjoramgrade.platform.decoding import DECODE_ERRORS

# The advisor processes the calls of one machine sequentially and takes up to 1 s for
# each.
CALL_TIMEOUT_MS = 8_000
MAX_CONNECTIONS = 16


class AdviceClient(AdvisorPort):
    """Asks the placement advisor which workers may run a step.

    Args:
        address: IP address and port of the placement advisor.
    """

    def __init__(self, address: str) -> None:
        self._pool = HttpPool(address, MAX_CONNECTIONS)

    def close(self) -> None:
        """Close the connections."""
        self._pool.close()

    async def advise(self, request: RequestAdvice) -> StepAdvice:
        """Return the workers that may run a step; see `AdvisorPort.advise`."""
        step = f"{request.job_id}.{request.occurrence}.{request.step}"
        body = msgspec.json.encode({"step": step, "workers": list(request.worker_ids)})
        try:
            answer = await self._pool.request(
                "POST", "/advise", body=body, timeout_ms=CALL_TIMEOUT_MS
            )
        except (HttpNotSentError, HttpNoResponseError) as error:
            raise AdvisorError(error.message) from None
        if answer.status != 200:
            raise AdvisorError(
                f"the placement advisor responded with status {answer.status}"
            )
        try:
            document = msgspec.json.decode(answer.body)
            workers = tuple(
                AdvisedWorker(str(worker_id), str(ticket))
                for worker_id, ticket in document["good"]
            )
            return StepAdvice(workers, int(document["validMs"]))
        except DECODE_ERRORS as error:
            raise AdvisorError(f"the advice cannot be decoded: {error!r}") from None
