import asyncio
import gc
import json
import pathlib

import pytest
from click.testing import Result
from tornado.web import RequestHandler
from typer.testing import CliRunner

from marjoramgrade import errors
from marjoramgrade.cli import app
from marjoramgrade.commands.output import align_columns, sanitize_text
from marjoramgrade.commands.session import exit_code_of
from tests.scriptedserver import Answer, ScriptedServer, fails, hangs_up, run, says
from tests.scriptedserver import streams as streams_lines
from tests.test_deployment import DEPLOY_FOLDER
from tests.test_settingsfile import VALID_SETTINGS

ZONE = {"name": "leeds", "state": "in"}
JOB = {
    "job_id": "j1",
    "spec": {"team": "a", "kind": "batch", "tasks": 2},
    "shard": "leeds.0",
    "outcomes": "dd",
    "state": "done",
    "version": 4,
}


def invoke(*arguments: str, url: str = "http://127.0.0.1:1", stdin: str = "") -> Result:
    result: Result = CliRunner().invoke(app, ["--url", url, *arguments], input=stdin)
    return result


def run_command(
    *arguments: str, answers: list[Answer], stdin: str = ""
) -> tuple[Result, list[tuple[str | None, str | None, str | None]]]:
    """Run a command against a scripted server.

    Returns:
        The result, and the method, URI and If-Match header of each request.
    """
    results: list[Result] = []

    async def run_client(server: ScriptedServer) -> None:
        def invoke_in_thread() -> Result:
            return invoke(*arguments, url=server.url, stdin=stdin)

        results.append(await asyncio.to_thread(invoke_in_thread))

    server = run(run_client, *answers)
    sent = [(r.method, r.uri, r.headers.get("If-Match")) for r in server.requests]
    return results[0], sent


@pytest.fixture
def entry(monkeypatch: pytest.MonkeyPatch) -> list[object]:
    """Replace the daemon by a list of the settings that it is started with."""
    started: list[object] = []
    monkeypatch.setattr("marjoramgrade.entry.run", started.append)
    return started


def test_a_list_is_a_table_for_people_and_json_for_programs() -> None:
    """Guards against programs that have to parse a table."""
    teams = {"version": 3, "items": [{"name": "a", "share": 5}]}
    table, _ = run_command("get", "teams", answers=[says(teams)])
    assert table.exit_code == 0
    header, row = table.stdout.splitlines()
    assert header.split() == ["NAME", "SHARE", "LIMIT", "QUEUE_BOUND"]
    assert row.split() == ["a", "5", "none", "100000"]
    shown, _ = run_command("--output", "json", "get", "teams", answers=[says(teams)])
    assert json.loads(shown.stdout)["items"][0]["share"] == 5


@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (fails("not_found", 404), 1),
        (fails("over_limit", 429), 1),
        (fails("invalid_input", 400), 2),
        (fails("conflict", 409, current_version="8"), 4),
        (fails("write_outcome_unknown", 503, "unknown"), 5),
        (hangs_up, 5),
    ],
)
def test_exit_codes_tell_failures_apart(answer: Answer, code: int) -> None:
    """Guards against scripts that repeat work whose outcome is unknown."""
    result, _ = run_command("cancel", "j1", answers=[answer])
    assert result.exit_code == code
    assert result.stdout == ""
    shown, _ = run_command("--output", "json", "cancel", "j1", answers=[answer])
    assert json.loads(shown.stderr)["error"]["code"]


def test_an_absent_server_and_a_wrong_usage_have_their_codes() -> None:
    """Guards against an unreachable server that is reported as refused work."""
    assert invoke("get", "teams").exit_code == 3
    for arguments in (["get", "nosuch"], ["frobnicate"], ["--output", "xml", "status"]):
        assert invoke(*arguments).exit_code == 2
    assert invoke("status", url="file:///etc/passwd").exit_code == 2
    assert invoke("--key-file", "/nonexistent", "status").exit_code == 2


@pytest.mark.parametrize("kind", errors.iter_error_types())
def test_every_error_has_an_exit_code(kind: type[errors.MarjoramgradeError]) -> None:
    """Guards against a failed command that exits with 0."""
    assert exit_code_of(kind.from_report("", {})) != 0


def test_apply_creates_changes_and_leaves_alone() -> None:
    """Guards against writes that overwrite a concurrent change."""
    document = {
        "teams": [{"name": "new"}, {"name": "old", "share": 2}],
        "zones": [{"name": "leeds"}],
    }
    result, sent = run_command(
        "apply",
        "-",
        answers=[
            fails("not_found", 404),
            says({}, version=7),
            says({"name": "old"}, version=3),
            says({}, version=8),
            says(ZONE, version=2),
        ],
        stdin=json.dumps(document),
    )
    assert result.exit_code == 0
    rows = [line.split()[1:3] for line in result.stdout.splitlines()[1:]]
    assert rows == [["new", "created"], ["old", "changed"], ["leeds", "unchanged"]]
    puts = [(uri, version) for method, uri, version in sent if method == "PUT"]
    assert puts == [("/v1/teams/new", "0"), ("/v1/teams/old", "3")]


@pytest.mark.parametrize(
    "document", ['{"teams": [{"name": "a"}, {"name": 1}]}', '{"keys": []}', "[]", "{"]
)
def test_apply_sends_nothing_of_a_file_with_a_fault(document: str) -> None:
    """Guards against a file that is applied only in part."""
    result, sent = run_command("apply", "-", answers=[], stdin=document)
    assert (result.exit_code, sent) == (2, [])


def test_a_zone_move_tells_which_zones_have_it_in_force() -> None:
    """Guards against a zone that is powered off before all zones apply the change."""
    zones = {"version": 9, "items": [ZONE, {"name": "hull", "state": "in"}]}
    result, sent = run_command(
        "zone-out",
        "leeds",
        answers=[
            says(ZONE, version=4),
            says({}, version=9),
            says(zones),
            says({"config": {"version_by_zone": {"leeds": 9, "hull": 8}}}),
            hangs_up,
            says({"config": {"version_by_zone": {"leeds": 9, "hull": 9}}}),
        ],
    )
    assert result.exit_code == 0
    assert ("PUT", "/v1/zones/leeds", "4") in sent
    confirmations = [line for line in result.stderr.splitlines() if "in force" in line]
    assert [line.split()[-1] for line in confirmations] == ["leeds", "hull"]


def test_a_change_that_a_zone_does_not_confirm_is_unknown_there() -> None:
    """Guards against exit code 0 while an unreachable zone may still accept the key."""
    result, _ = run_command(
        "withdraw-key",
        "k",
        "--wait-ms",
        "0",
        answers=[says({}, version=9), says({"version": 9, "items": [ZONE]}), says({})],
    )
    assert result.exit_code == 5
    assert "not confirmed by leeds" in result.stderr


def test_a_job_is_submitted_and_awaited() -> None:
    """Guards against exit code 0 for a failed job."""
    failed = {**JOB, "outcomes": "df", "state": "failed"}
    spec = json.dumps(JOB["spec"])
    arguments = ["submit", "-", "--wait-ms", "5000"]
    open_job = {**JOB, "outcomes": "..", "state": "open"}
    answers = [says(open_job, status=201), says(failed)]
    result, _ = run_command(*arguments, answers=answers, stdin=spec)
    assert result.exit_code == 1
    assert "2/2" in result.stdout
    result, _ = run_command(*arguments, answers=[says(JOB)], stdin=spec)
    assert result.exit_code == 0


def test_a_request_writes_the_answer_as_it_came() -> None:
    """Guards against a command that changes the response body."""
    result, sent = run_command(
        "request", "svc", answers=[says(b"\x00\xff\n")], stdin="in"
    )
    assert result.stdout_bytes == b"\x00\xff\n"
    assert sent[0][:2] == ("POST", "/v1/run/svc")


def test_watch_shows_changes_and_tells_of_a_gap() -> None:
    """Guards against a watch that does not report that it missed changes."""
    change = {"version": 5, "kind": "job", "name": "j1", "document": JOB}
    result, _ = run_command(
        "--output",
        "json",
        "watch",
        "--after",
        "1",
        "--count",
        "1",
        answers=[
            streams_lines('{"reset": true, "version": 4}'),
            streams_lines(json.dumps(change)),
        ],
    )
    assert result.exit_code == 0
    assert json.loads(result.stdout)["name"] == "j1"
    assert "watch_reset" in result.stderr


def test_a_watch_that_ends_leaves_no_traceback(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against a traceback in the terminal when a watch ends."""
    change = {"version": 5, "kind": "job", "name": "j1", "document": JOB}

    async def stay_open(handler: RequestHandler) -> None:
        closed = asyncio.Event()
        handler.on_connection_close = closed.set  # type: ignore[method-assign]
        handler.write(json.dumps(change) + "\n")
        await handler.flush()
        await closed.wait()
        handler._finished = True

    result, _ = run_command(
        "watch", "--after", "1", "--count", "1", answers=[stay_open]
    )
    assert result.exit_code == 0
    # asyncio logs unretrieved exceptions when their futures are garbage-collected.
    gc.collect()
    loggers = {record.name for record in caplog.records}
    assert not loggers & {"tornado.application", "asyncio"}


def test_a_granted_secret_is_shown_once_and_read_from_a_file(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against secrets that other users see in the arguments of a process."""
    path = tmp_path / "key"
    path.write_text("operator-secret\n")
    result, _ = run_command(
        "--key-file",
        str(path),
        "grant-key",
        "k",
        "a",
        answers=[says({"secret": "s3cret"}, version=1)],
    )
    assert result.stdout == "s3cret\n"


def test_settings_are_rendered_checked_and_run(
    entry: list[object], tmp_path: pathlib.Path
) -> None:
    """Guards against rendered settings that the daemon cannot read."""
    path = tmp_path / "entry.json"
    cell = str(DEPLOY_FOLDER / "ledgerwell.json")
    rendered = invoke("settings", "render", cell, "--instance", "leeds-entry-1")
    path.write_text(rendered.stdout)
    assert invoke("settings", "check", str(path)).stdout == rendered.stdout
    assert invoke("run", "--settings", str(path)).exit_code == 0
    assert len(entry) == 1
    assert invoke("settings", "render", cell, "--instance", "x").exit_code == 1
    path.write_text(json.dumps({**VALID_SETTINGS, "zone": ""}))
    assert invoke("run", "--settings", str(path)).exit_code == 2
    assert len(entry) == 1


def test_a_seed_applies(entry: list[object]) -> None:
    """Guards against a seed that `apply` rejects."""
    seed = invoke("settings", "seed", str(DEPLOY_FOLDER / "kelani-basin.json")).stdout
    count = 6 + 3 + 1
    answers = [fails("not_found", 404), says({}, version=1)] * count
    result, sent = run_command("apply", "-", answers=answers, stdin=seed)
    assert (result.exit_code, len(sent)) == (0, 2 * count)


def test_text_from_others_cannot_control_the_terminal() -> None:
    """Guards against escape sequences in a job's reason that control the terminal."""
    assert sanitize_text("\x1b[2Jx\n", 10) == "?[2Jx?"
    assert len(sanitize_text("x" * 100, 10)) == 10
    assert list(align_columns([["a", "bb"], ["ccc", "d"]])) == ["a    bb", "ccc  d"]
