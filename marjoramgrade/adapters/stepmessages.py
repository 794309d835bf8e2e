"""Encodings of the messages about step jobs and the rows that store them."""

from __future__ import annotations

from typing import Any

from marjoramgrade import errors
from marjoramgrade.adapters.peercodec import converter, encodes, register_message_type
from marjoramgrade.messages import rows, steps

for _message_type in (
    rows.CommitRows,
    rows.RowsCommitted,
    rows.ReadRows,
    rows.WatchRows,
    rows.RowsPage,
    rows.PageTransfer,
    rows.FetchPart,
    rows.PagePart,
    steps.StepJobAccepted,
    steps.GetStepJob,
    steps.CancelStepJob,
    steps.StepJobShown,
    steps.CountPending,
    steps.PendingCount,
    steps.LeaderBeat,
    steps.LeaderLeft,
    steps.AskLeaderAge,
    steps.LeaderAge,
    steps.StepAdvice,
    steps.RequestAdvice,
):
    register_message_type(_message_type)


def _parse_submission(data: Any) -> steps.SubmitStepJob:
    """Decode a submission; the leader plans with its job as it is."""
    message = converter.structure(data.to_dict(verbose=True), steps.SubmitStepJob)
    message.job.check()
    return message


@encodes(steps.SubmitStepJob, "submitStepJob", _parse_submission)
def _serialize_submission(message: steps.SubmitStepJob) -> Any:
    return converter.unstructure(message)


def _parse_row_check_failed(data: Any) -> errors.RowCheckFailedError:
    page = converter.structure(
        {"rows": data.to_dict(verbose=True)["rows"], "version": 0}, rows.RowsPage
    )
    return errors.RowCheckFailedError("a row has changed", page.rows)


@encodes(errors.RowCheckFailedError, "rowsDiffer", _parse_row_check_failed)
def _serialize_row_check_failed(error: errors.RowCheckFailedError) -> dict[str, Any]:
    return {"rows": converter.unstructure(error.rows)}
