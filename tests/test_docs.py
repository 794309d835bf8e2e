import importlib
import pathlib
import pkgutil
import re

import attrs
import pytest
import typer

import marjoramgrade
from marjoramgrade import cli, errors
from marjoramgrade.adapters.httperrors import status_of
from marjoramgrade.commands.session import ExitCode, exit_code_of
from marjoramgrade.settings import EntrySettings, PolicyNames

DOCS = pathlib.Path(__file__).parent.parent / "docs"
WORDS = (
    "instance, worker, backend server, runner, zone, team, cell, key, share, limit, "
    "standing watch, report pack, quick check"
)


def first_cells(page: str) -> list[str]:
    """Return the first cell of every table row of a page."""
    rows = re.findall(r"^\| (.*?) \|", (DOCS / page).read_text(), re.M)
    return [row.strip("`") for row in rows]


def load_all_modules() -> None:
    for module in pkgutil.walk_packages(marjoramgrade.__path__, "marjoramgrade."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)


def test_every_error_code_is_explained_to_operators() -> None:
    """Guards against error codes for which the guide gives no action."""
    load_all_modules()
    codes = {
        kind.code
        for kind in errors.iter_error_types()
        if kind.__module__.startswith("marjoramgrade.")
    }
    assert codes <= set(first_cells("operators.md"))


@pytest.mark.parametrize("kind", errors.iter_error_types())
def test_the_guide_says_rightly_whether_the_work_ran(
    kind: type[errors.MarjoramgradeError],
) -> None:
    """Guards against operators who repeat work that may have run (invariant 7)."""
    page = (DOCS / "operators.md").read_text()
    row = next((r for r in page.splitlines() if r.startswith(f"| `{kind.code}` |")), "")
    if kind.__module__.startswith("marjoramgrade."):
        assert row.split("|")[2].strip().startswith(kind.ran.value)


def test_the_guide_has_a_section_for_each_matter() -> None:
    """Guards against an outage for which the guide has no section."""
    page = (DOCS / "operators.md").read_text()
    sections = re.findall(r"^## (.*)$", page, re.M)
    assert sections == [
        "Zone moves",
        "Keys",
        "Shares and limits",
        "Platform outage",
        "Zone cut off",
        "Codes",
    ]


def test_every_setting_and_policy_is_explained() -> None:
    """Guards against settings that operators cannot look up."""
    listed = set(first_cells("settings.md"))
    for kind in (EntrySettings, PolicyNames):
        assert {field.name for field in attrs.fields(kind)} <= listed


def command_names() -> set[str]:
    root = typer.main.get_command(cli.app)
    found = set()
    for name, command in root.commands.items():  # type: ignore[attr-defined]
        inner = getattr(command, "commands", None)
        found |= {f"{name} {sub}" for sub in inner} if inner else {name}
    return found


def test_every_command_and_exit_code_is_explained() -> None:
    """Guards against commands and exit codes that scripts cannot rely on."""
    cells = first_cells("cli.md")
    commands = {re.split(r" (?=[A-Z\[-])", cell)[0] for cell in cells}
    assert command_names() <= commands
    assert {str(int(code)) for code in ExitCode} <= set(cells)
    assert exit_code_of(errors.NotFoundError("")) is ExitCode.FAILED


def test_the_glossary_holds_the_words_of_the_product() -> None:
    """Guards against terms that new readers cannot look up."""
    assert set(WORDS.split(", ")) <= set(first_cells("glossary.md"))


def test_every_error_code_is_listed_with_its_status_and_whether_it_ran() -> None:
    """Guards against clients that rely on a wrong protocol page."""
    load_all_modules()
    page = (DOCS / "protocols.md").read_text()
    listed = {
        (int(status), code, ran or "no")
        for status, cells in re.findall(r"^\| (\d{3}) \| (.*) \|$", page, re.M)
        for code, ran in re.findall(r"`(\w+)`(?: \((\w+)\))?", cells)
    }
    known = {
        (status_of(kind.__new__(kind)), kind.code, kind.ran.value)
        for kind in errors.iter_error_types()
        if kind.__module__.startswith("marjoramgrade.")
        and kind.code not in ("server_unreachable", "watch_reset")
    }
    assert listed == known
