"""What an entry instance loads at its start."""

import pathlib
import subprocess
import sys
import tomllib

PROJECT_ROOT = pathlib.Path(__file__).parent.parent
# Each of them costs a start tens of milliseconds, during which nobody is served.
UNUSED_AT_START = ("marjoramgrade.model", "prometheus_client", "rich", "typer")


def test_an_instance_starts_without_what_it_does_not_use():
    # Guards against starts that get slower with each import that creeps in.
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
    # Guards against two lists of pinned libraries that drift apart.
    deployed = set((PROJECT_ROOT / "deploy" / "requirements.txt").read_text().split())
    tested = set((PROJECT_ROOT / "requirements.txt").read_text().split())
    assert deployed <= tested
    system = tomllib.loads((PROJECT_ROOT / "deploy" / "system.toml").read_text())
    assert "deploy/requirements.txt" in system["build"]
