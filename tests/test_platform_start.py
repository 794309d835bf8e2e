"""Tests of the modules and libraries that an entry instance loads at its start."""

import pathlib
import subprocess
import sys
import tomllib

PROJECT_ROOT = pathlib.Path(__file__).parent.parent
# Importing any of these delays the start by tens of milliseconds, during which no
# requests are served.
UNUSED_AT_START = ("marjoramgrade.model", "prometheus_client", "rich", "typer")


def test_an_instance_starts_without_what_it_does_not_use():
    # Guards against unused imports that make the start slower.
    code = (
        "import sys; sys.modules['rich'] = None; import marjoramgrade.platform.daemon;"
        f"print([m for m in {UNUSED_AT_START} if sys.modules.get(m)])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code],
        cwd=PROJECT_ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert result.stdout.strip() == "[]"


def test_the_deployed_libraries_are_those_that_the_tests_use():
    # Guards against different versions in the two lists of pinned libraries.
    deployed = set((PROJECT_ROOT / "deploy" / "requirements.txt").read_text().split())
    tested = set((PROJECT_ROOT / "requirements.txt").read_text().split())
    assert deployed <= tested
    system = tomllib.loads((PROJECT_ROOT / "deploy" / "system.toml").read_text())
    assert "deploy/requirements.txt" in system["build"]
