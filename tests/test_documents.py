import json
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade import documents
from marjoramgrade.errors import InvalidInputError, OversizedInputError
from tests import strategies

PAIRS: dict[str, tuple[Any, Callable[[Any], Any], Callable[[Any], Any]]] = {
    "spec": (
        strategies.specs,
        documents.serialize_job_spec,
        documents.parse_job_spec,
    ),
    "job": (strategies.jobs(), documents.serialize_job, documents.parse_job),
    "team": (strategies.teams, documents.serialize_team, documents.parse_team),
    "key": (strategies.keys, documents.serialize_key, documents.parse_key),
    "zone": (strategies.zones, documents.serialize_zone, documents.parse_zone),
    "service": (
        strategies.services,
        documents.serialize_service,
        documents.parse_service,
    ),
    "instance": (
        strategies.instances,
        documents.serialize_instance,
        documents.parse_instance,
    ),
    "config": (strategies.configs, documents.serialize_config, documents.parse_config),
}


@pytest.mark.parametrize("kind", PAIRS)
@given(data=st.data())
def test_every_resource_survives_a_round_trip(kind: str, data: st.DataObject) -> None:
    """Guards against values that change or are lost between processes."""
    values, serialize, parse = PAIRS[kind]
    value = data.draw(values)
    assert parse(json.loads(json.dumps(serialize(value)))) == value


@pytest.mark.parametrize("kind", PAIRS)
@given(data=st.data())
def test_hostile_documents_raise_only_typed_errors(
    kind: str, data: st.DataObject
) -> None:
    """Guards against a document that crashes the process that reads it."""
    values, serialize, parse = PAIRS[kind]
    document = serialize(data.draw(values))
    field = data.draw(st.sampled_from(sorted(document)) | st.text())
    document[field] = data.draw(strategies.arbitrary_values)
    for candidate in (document, document[field]):
        try:
            parse(candidate)
        except InvalidInputError as error:
            assert error.details["path"]
            assert len(error.message) < 10_000


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"tasks": 10_001}, "tasks"),
        ({"tasks": 0}, "tasks"),
        ({"tasks": True}, "tasks"),
        ({"tasks": "1"}, "tasks"),
        ({"payload": "é" * 32_769}, "payload"),
        ({"team": "a" * 65}, "team"),
        ({"team": "../config"}, "team"),
        ({"kind": "cron"}, "kind"),
        ({"priority": "URGENT"}, "priority"),
        ({"resources": {"cpu_millis": -1}}, "resources.cpu_millis"),
        ({"resources": {"gpus": 1}}, "resources.gpus"),
        ({"taks": 1}, "taks"),
    ],
)
def test_a_fault_is_named_by_its_path(change: dict[str, object], path: str) -> None:
    """Guards against bounds that are not applied and errors that name no field."""
    with pytest.raises(InvalidInputError) as caught:
        documents.parse_job_spec({"team": "a", "kind": "batch", **change})
    assert caught.value.details["path"] == path


def test_only_amounts_that_are_not_zero_are_written() -> None:
    """Guards against documents that grow with each new kind of resource."""
    spec = documents.parse_job_spec(
        {"team": "a", "kind": "gang", "resources": {"accelerators": 2}}
    )
    document = documents.serialize_job_spec(spec)
    assert document["resources"] == {"accelerators": 2}
    assert document["priority"] == "normal"


def test_a_missing_name_and_an_oversized_text_have_types_of_their_own() -> None:
    """Guards against errors that do not show clients what to correct."""
    with pytest.raises(InvalidInputError, match="team is required"):
        documents.parse_job_spec({"kind": "batch"})
    with pytest.raises(OversizedInputError):
        documents.parse_job_spec({"team": "a", "kind": "batch", "payload": "x" * 70000})


def test_a_job_whose_outcomes_do_not_match_is_refused() -> None:
    """Guards against tasks that are lost because the row has too few outcomes."""
    spec = {"team": "a", "kind": "batch", "tasks": 2}
    job = {"job_id": "j", "spec": spec, "shard": "z.0", "outcomes": "d"}
    with pytest.raises(InvalidInputError, match="outcomes"):
        documents.parse_job(job)
    with pytest.raises(InvalidInputError, match="state"):
        documents.parse_job({**job, "outcomes": "dd", "state": "open"})


def test_a_configuration_with_a_name_twice_is_refused_whole() -> None:
    """Guards against silently dropping one of two teams of the same name."""
    with pytest.raises(InvalidInputError, match=r"teams\[1\]\.name"):
        documents.parse_config({"teams": [{"name": "a"}, {"name": "a"}]})


def test_a_key_summary_holds_no_hash() -> None:
    """Guards against hashes of secrets in responses to clients."""
    key = documents.Key.from_secret("k", "a", "secret")
    assert documents.serialize_key_summary(key) == {"name": "k", "team": "a"}
