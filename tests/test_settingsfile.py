import json
import pathlib

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade import settingsfile
from marjoramgrade.errors import SettingsError
from marjoramgrade.model import JobKind
from marjoramgrade.registry import Registry
from marjoramgrade.settings import DEFAULT_FILTERS, EntrySettings, PolicyNames
from tests import strategies

DEFAULT = PolicyNames()
KNOWN_NAMES = settingsfile.KnownNames(
    DEFAULT_FILTERS,
    {
        "queue_order": ["weighted_drf", "fifo"],
        "placement": ["best_fit"],
        "preemption": ["above_share"],
        "retry": ["task_backoff"],
    },
)
VALID_SETTINGS = {
    "instance_id": "gampaha-1",
    "zone": "gampaha",
    "host": "127.0.0.1",
    "http_port": 8080,
    "peer_port": 8081,
    "platform_url": "http://127.0.0.1:9000",
}


def find_reasons(document: object) -> dict[str, str]:
    with pytest.raises(SettingsError) as caught:
        settingsfile.parse_entry_settings(document, KNOWN_NAMES)
    return {problem.path: problem.reason for problem in caught.value.problems}


def test_settings_survive_a_round_trip() -> None:
    """Guards against rendered settings that the entry instance reads differently."""
    settings = settingsfile.parse_entry_settings(VALID_SETTINGS, KNOWN_NAMES)
    assert settings == EntrySettings(**VALID_SETTINGS)  # type: ignore[arg-type]
    document = json.loads(json.dumps(settingsfile.serialize_entry_settings(settings)))
    assert settingsfile.parse_entry_settings(document, KNOWN_NAMES) == settings


def test_every_fault_is_listed_at_once() -> None:
    """Guards against errors that report only the first fault of a file."""
    reason_by_path = find_reasons(
        {
            **VALID_SETTINGS,
            "host": "localhost",
            "http_port": 0,
            "peer_port": 65_536,
            "platform_url": "http://platform:9000",
            "color": "red",
            "filters": ["identify", "nosuch"],
            "policies_by_kind": {"batch": {"placement": "worst_fit"}},
        }
    )
    assert set(reason_by_path) == {
        "host",
        "http_port",
        "peer_port",
        "platform_url",
        "color",
        "filters",
        "policies_by_kind[batch].placement",
    }


@pytest.mark.parametrize(
    "url",
    [
        "https://127.0.0.1:1",
        "http://127.0.0.1",
        "http://127.0.0.1:1/",
        "http://127.0.0.1:0",
        "http://127.0.0.1:1?a=b",
        "http://me@127.0.0.1:1",
        "http://127.0.0.1:99999",
        "127.0.0.1:1",
        "http://127.0.0.1:1\n",
    ],
)
def test_only_a_plain_address_is_a_platform_url(url: str) -> None:
    """Guards against requests that are sent to an unintended address."""
    assert set(find_reasons({**VALID_SETTINGS, "platform_url": url})) == {
        "platform_url"
    }


def test_an_unknown_kind_and_a_shared_port_are_faults() -> None:
    """Guards against policies of an unknown kind and a port that is bound twice."""
    assert find_reasons({**VALID_SETTINGS, "policies_by_kind": {"cron": {}}})
    assert set(find_reasons({**VALID_SETTINGS, "peer_port": 8080})) == {"peer_port"}
    assert find_reasons({**VALID_SETTINGS, "filters": ["identify", "identify"]})


def test_a_kind_left_out_keeps_its_default_policies() -> None:
    """Guards against a kind of work without policies at run time."""
    document = {
        **VALID_SETTINGS,
        "policies_by_kind": {"batch": {"queue_order": "fifo"}},
    }
    settings = settingsfile.parse_entry_settings(document, KNOWN_NAMES)
    assert settings.policies_by_kind[JobKind.BATCH].queue_order == "fifo"
    assert settings.policies_by_kind[JobKind.GANG] == DEFAULT


@given(
    field=st.sampled_from([f.name for f in attrs.fields(EntrySettings)]) | st.text(),
    value=strategies.arbitrary_values,
)
def test_hostile_settings_raise_only_settings_errors(field: str, value: object) -> None:
    """Guards against a settings file that ends the start with a traceback."""
    for document in ({**VALID_SETTINGS, field: value}, value):
        try:
            settingsfile.parse_entry_settings(document, KNOWN_NAMES)
        except SettingsError as error:
            assert all(p.path and p.reason for p in error.problems)


@pytest.mark.parametrize("content", [None, b"{", b"\xff", b" " * 1_048_577])
def test_an_unreadable_file_is_a_settings_error(
    content: bytes | None, tmp_path: pathlib.Path
) -> None:
    """Guards against a missing or damaged file that ends in a traceback."""
    path = tmp_path / "entry.json"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(SettingsError, match="entry.json"):
        settingsfile.read_entry_settings(path, KNOWN_NAMES)


def test_known_names_cover_every_field_of_the_policies() -> None:
    """Guards against a policy name that no registry checks."""
    empty: Registry[object] = Registry("thing")
    with pytest.raises(TypeError):
        settingsfile.KnownNames.from_registries(empty, placement=empty)
