import json
import pathlib
from typing import Any

import pytest

from marjoramgrade import deployment, documents
from marjoramgrade.errors import NotFoundError, SettingsError
from tests.test_settingsfile import KNOWN_NAMES

DEPLOY_FOLDER = pathlib.Path(__file__).parent.parent / "deploy"
SIZES = {"kelani-basin": (7, 64_000, 128), "ledgerwell": (6, 16_000, 64)}


def load(name: str) -> dict[str, Any]:
    document: dict[str, Any] = json.loads((DEPLOY_FOLDER / f"{name}.json").read_text())
    return document


@pytest.mark.parametrize("name", SIZES)
def test_the_deployment_files_have_the_sizes_of_the_design_page(name: str) -> None:
    """Guards against a deployment file that differs from the design page."""
    cell = deployment.read_deployment(DEPLOY_FOLDER / f"{name}.json")
    entries, cpu_millis, memory_gib = SIZES[name]
    assert (len(cell.entries), len(cell.zones), len(cell.teams)) == (entries, 3, 6)
    assert (cell.workers.count, cell.workers.per_rack) == (24, 8)
    assert cell.workers.capacity.cpu_millis == cpu_millis
    assert cell.workers.capacity.memory_mib == memory_gib * 1024
    assert [(b.count, b.slots, b.connections) for b in cell.backends] == [(24, 8, 64)]


@pytest.mark.parametrize("name", SIZES)
def test_settings_render_for_every_instance(name: str) -> None:
    """Guards against a deployment with settings that an instance cannot start with."""
    cell = deployment.read_deployment(DEPLOY_FOLDER / f"{name}.json")
    for entry in cell.entries:
        settings = deployment.render_settings(cell, entry.instance_id, KNOWN_NAMES)
        assert (settings.instance_id, settings.zone) == (entry.instance_id, entry.zone)
    with pytest.raises(NotFoundError):
        deployment.render_settings(cell, "nobody", KNOWN_NAMES)


def test_the_seed_holds_resources_that_parse() -> None:
    """Guards against initial resources that the API rejects."""
    cell = deployment.read_deployment(DEPLOY_FOLDER / "ledgerwell.json")
    seed = json.loads(json.dumps(deployment.serialize_seed(cell)))
    assert [documents.parse_team(team) for team in seed["teams"]] == list(cell.teams)
    assert len(documents.parse_config(seed).services_by_name) == 1


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"zones": [{"name": "leeds"}]}, "entries[2].zone"),
        ({"backends": [{"service": "x", "count": 1}]}, "backends[0].service"),
        ({"services": [{"name": "x", "team": "y"}]}, "services[0].team"),
        ({"settings": {"zone": "leeds"}}, "settings.zone"),
        ({"teams": [{"name": "a"}, {"name": "a"}]}, "teams[1].name"),
        ({"color": 1}, "color"),
    ],
)
def test_a_deployment_that_contradicts_itself_is_refused(
    change: dict[str, object], path: str
) -> None:
    """Guards against a deployment that refers to unknown zones, services or teams."""
    with pytest.raises(SettingsError) as caught:
        deployment.parse_deployment({**load("ledgerwell"), **change})
    assert path in {problem.path for problem in caught.value.problems}
