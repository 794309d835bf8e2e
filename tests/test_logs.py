import io
import json
import logging
import pathlib
import re

from marjoramgrade import logs

PACKAGE = pathlib.Path(logs.__file__).parent


def lines_of(stream: io.StringIO) -> list[dict[str, object]]:
    return [json.loads(line) for line in stream.getvalue().splitlines()]


def test_a_state_change_is_one_json_line() -> None:
    """Guards against lines that log readers cannot split or parse."""
    stream = io.StringIO()
    logs.configure(stream, instance_id="leeds-entry-1")
    logs.state_change("shard_taken", shard="leeds.0", epoch=3, reason="a\nb")
    (line,) = lines_of(stream)
    assert line.pop("timestamp")
    assert line == {
        "event": "shard_taken",
        "instance_id": "leeds-entry-1",
        "shard": "leeds.0",
        "epoch": 3,
        "reason": "a\nb",
    }


def test_library_errors_become_lines_and_access_lines_do_not() -> None:
    """Guards against lost exceptions of tornado, and a line for each request."""
    stream = io.StringIO()
    logs.configure(stream)
    logging.getLogger("tornado.access").error("500 GET /")
    logging.getLogger("tornado.application").error("uncaught %s", "thing")
    (line,) = lines_of(stream)
    assert (line["event"], line["message"]) == ("library_error", "uncaught thing")


def test_only_this_module_logs() -> None:
    """Guards against log lines outside the one helper for state changes."""
    logging_use = re.compile(r"^\s*(import|from) (logging|structlog)\b|\bprint\(", re.M)
    users = {
        path.name
        for path in PACKAGE.rglob("*.py")
        if logging_use.search(path.read_text())
    }
    assert users == {"logs.py"}
