import asyncio
import io
import json
import logging
import os
import pathlib
import re
import sys

from marjoramgrade import logs

PACKAGE = pathlib.Path(logs.__file__).parent


def parse_lines(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_state_change_is_one_json_line() -> None:
    """Guards against lines that log readers cannot split or parse."""
    stream = io.StringIO()
    logs.configure(stream, instance_id="leeds-entry-1")
    logs.log_event("shard_taken", shard="leeds.0", epoch=3, reason="a\nb")
    (line,) = parse_lines(stream)
    assert line.pop("timestamp")
    assert line == {
        "event": "shard_taken",
        "instance_id": "leeds-entry-1",
        "shard": "leeds.0",
        "epoch": 3,
        "reason": "a\nb",
    }


def test_library_errors_become_lines_and_access_lines_do_not() -> None:
    """Guards against unreported exceptions in tornado and a line for each request."""
    stream = io.StringIO()
    logs.configure(stream)
    logging.getLogger("tornado.access").error("500 GET /")
    logging.getLogger("tornado.application").error("uncaught %s", "thing")
    (line,) = parse_lines(stream)
    assert (line["event"], line["message"]) == ("library_error", "uncaught thing")


def test_only_this_module_logs() -> None:
    """Guards against log lines that bypass `log_event` and its rate limit."""
    logging_use = re.compile(r"^\s*(import|from) (logging|structlog)\b|\bprint\(", re.M)
    users = {
        path.name
        for path in PACKAGE.rglob("*.py")
        if logging_use.search(path.read_text())
    }
    assert users == {"logs.py"}


def test_lines_of_one_kind_are_bounded(monkeypatch):
    # Guards against a fault that makes logging cost more than the work itself.
    stream = io.StringIO()
    logs.configure(stream)
    monkeypatch.setattr(logs, "_budget", logs._LineBudget())
    monkeypatch.setattr(logs.time, "monotonic", lambda: 7.0)
    for _ in range(logs.MAX_LINES_PER_S + 25):
        logs.log_event("start_refused")
    logs.log_event("other")
    monkeypatch.setattr(logs.time, "monotonic", lambda: 8.0)
    logs.log_event("other")
    events = [json.loads(line)["event"] for line in stream.getvalue().splitlines()]
    assert events.count("start_refused") == logs.MAX_LINES_PER_S
    assert events[-3:] == ["other", "lines_left_out", "other"]
    assert "start_refused=25" in stream.getvalue()


class FrozenTime:
    """Stands in for the module, of which only the log's own reading stops."""

    @staticmethod
    def monotonic():
        return sys.maxsize


def test_every_job_can_be_found_by_its_id(monkeypatch):
    # Guards against an answer of which the log has no trace because many other callers
    # got the same in that second.
    logs.flush_batches()
    stream = io.StringIO()
    logs.configure(stream)
    used = logs._LineBudget(sys.maxsize, {"request_failed": logs.MAX_LINES_PER_S})
    monkeypatch.setattr(logs, "_budget", used)
    monkeypatch.setattr(logs, "time", FrozenTime())
    jobs = [f"{number:016x}" for number in range(500)]

    async def run():
        for job in jobs:
            logs.log_job_event("request_failed", job, code="table_unavailable")
        await asyncio.sleep(2 * logs.BATCH_FLUSH_MS / 1000)

    asyncio.run(run())
    lines = stream.getvalue().splitlines()
    assert not [job for job in jobs if job not in stream.getvalue()]
    assert f"{jobs[-1]}:table_unavailable" in lines[-1]
    assert max(map(len, lines)) < logs.MAX_LINE_BYTES
    assert len(lines) <= len(jobs) // 80 + 1


def test_entries_are_written_although_an_earlier_event_loop_has_ended():
    # Guards against a batch that waits for good for the flush of a loop that has ended.
    logs.flush_batches()
    stream = io.StringIO()
    logs.configure(stream)

    async def log(entry, wait_s):
        logs.log_batched("answered", entry)
        await asyncio.sleep(wait_s)

    asyncio.run(log("first", 0))
    asyncio.run(log("second", 2 * logs.BATCH_FLUSH_MS / 1000))
    assert "first second" in stream.getvalue()


def test_jobs_are_logged_before_the_process_ends(monkeypatch):
    # Guards against answers of the last moments of an instance that no line names.
    logs.flush_batches()
    stream = io.StringIO()
    logs.configure(stream)
    used = logs._LineBudget(sys.maxsize, {"request_failed": logs.MAX_LINES_PER_S})
    monkeypatch.setattr(logs, "_budget", used)
    monkeypatch.setattr(logs, "time", FrozenTime())

    async def run():
        logs.log_job_event("request_failed", "00000000000000aa")
        assert not stream.getvalue()
        logs.flush_batches()

    asyncio.run(run())
    assert "00000000000000aa" in stream.getvalue()


def test_line_is_dropped_rather_than_waited_for():
    # Guards against a process that blocks because nobody reads its log.
    reader, writer = os.pipe()
    stream = logs.DroppingStream(writer)
    for _ in range(100):
        stream.write("x" * 3_000 + "\n")
    assert stream.dropped > 0
    os.close(reader)
    os.close(writer)


def test_a_log_whose_reader_has_gone_ends_nothing() -> None:
    """Guards against a process that ends because nobody reads its log any more."""
    reader, writer = os.pipe()
    os.close(reader)
    stream = logs.DroppingStream(writer)
    stream.write("line\n")
    os.close(writer)
    assert stream.dropped == 1


def test_text_that_utf8_cannot_encode_is_written_escaped():
    # Guards against a log line about odd input that ends the task that writes it.
    reader, writer = os.pipe()
    stream = logs.DroppingStream(writer)
    stream.write("worker \ud800\n")
    os.close(writer)
    with os.fdopen(reader, "rb") as pipe:
        assert pipe.read() == b"worker \\ud800\n"
