"""HTTP client of the placement advisor, a service of the platform."""

from __future__ import annotations

import msgspec

from marjoramgrade.adapters.httppool import (
    HttpNoResponseError,
    HttpNotSentError,
    HttpPool,
)
from marjoramgrade.controllers.advising import AdvisorPort
from marjoramgrade.errors import AdvisorError, InvalidInputError
from marjoramgrade.messages.steps import AdvisedWorker, RequestAdvice, StepAdvice
from marjoramgrade.platform.decoding import (
    decode_object,
    get_list,
    reports_invalid,
    to_integer,
    to_text,
)

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
            return _parse_advice(answer.body)
        except InvalidInputError as error:
            raise AdvisorError(error.message) from None


class MissingAdvisor(AdvisorPort):
    """Stands in for the placement advisor where the deployment has none."""

    def close(self) -> None:
        """Do nothing."""

    async def advise(self, request: RequestAdvice) -> StepAdvice:
        """Fail; see `AdvisorPort.advise`."""
        raise AdvisorError("this deployment has no placement advisor")


def connect_advisor(address: str) -> AdvisorPort:
    """Return the client of the advisor at an address, which may be empty."""
    return AdviceClient(address) if address else MissingAdvisor()


def _parse_advice(body: bytes) -> StepAdvice:
    with reports_invalid("the advice"):
        document = decode_object(body)
        workers = tuple(
            AdvisedWorker(to_text(worker_id, "worker"), to_text(ticket, "ticket"))
            for worker_id, ticket in get_list(document, "good")
        )
        return StepAdvice(workers, to_integer(document["validMs"], "validMs"))
