"""Commands that submit, cancel and run work."""

from __future__ import annotations

import asyncio
import pathlib
from typing import Annotated

import typer

from marjoramgrade import documents
from marjoramgrade.api import DEFAULT_DEADLINE_MS, Client
from marjoramgrade.clock import SystemClock
from marjoramgrade.commands.output import View, job_row
from marjoramgrade.commands.session import (
    ExitCode,
    Session,
    read_document,
    read_input,
    session_of,
)
from marjoramgrade.model import Job, JobState

app = typer.Typer()
POLL_INTERVAL_MS = 500
MAX_DEADLINE_MS = 60_000
MAX_WAIT_MS = 24 * 3_600_000


def _show_job(session: Session, job: Job) -> None:
    document = documents.serialize_job(job)
    session.show(View(document, "jobs", [job_row(document)]))


@app.command()
def submit(
    context: typer.Context,
    file: Annotated[
        pathlib.Path, typer.Argument(help="A job spec in JSON, or - for stdin.")
    ],
    job_id: Annotated[str, typer.Option(help="Unique id; generated if empty.")] = "",
    wait_ms: Annotated[
        int, typer.Option(min=0, max=MAX_WAIT_MS, help="How long to wait for the job.")
    ] = 0,
) -> None:
    """Submit a job."""
    session = session_of(context)
    with session.exit_on_error():
        spec = documents.parse_job_spec(read_document(file))

    async def submit_and_wait(client: Client) -> Job:
        clock = SystemClock()
        job = await client.submit(spec, job_id)
        until_ms = clock.now_ms() + wait_ms
        while job.state is JobState.OPEN and clock.now_ms() < until_ms:
            await asyncio.sleep(POLL_INTERVAL_MS / 1000)
            job = await client.get_job(job.job_id)
        return job

    job = session.run(submit_and_wait)
    _show_job(session, job)
    if job.state in (JobState.FAILED, JobState.CANCELLED):
        raise typer.Exit(ExitCode.FAILED)
    if wait_ms and job.state is JobState.OPEN:
        raise typer.Exit(ExitCode.UNKNOWN)


@app.command()
def cancel(context: typer.Context, job_id: str) -> None:
    """Cancel a job; tasks that have ended do not change."""
    session = session_of(context)
    _show_job(session, session.run(lambda client: client.cancel_job(job_id)))


@app.command()
def request(
    context: typer.Context,
    service: str,
    body: Annotated[
        pathlib.Path, typer.Option(help="File with the request body; - for stdin.")
    ] = pathlib.Path("-"),
    idempotent: Annotated[
        bool, typer.Option(help="The request may run more than once.")
    ] = False,
    request_id: Annotated[
        str, typer.Option(help="Unique id; generated if empty.")
    ] = "",
    deadline_ms: Annotated[
        int, typer.Option(min=1, max=MAX_DEADLINE_MS, help="Time for the response.")
    ] = DEFAULT_DEADLINE_MS,
) -> None:
    """Run a request on a service and write the response unchanged."""
    session = session_of(context)
    with session.exit_on_error():
        data = read_input(body)
    answer = session.run(
        lambda client: client.run(
            service,
            data,
            deadline_ms=deadline_ms,
            request_id=request_id,
            idempotent=idempotent,
        )
    )
    typer.get_binary_stream("stdout").write(answer)
