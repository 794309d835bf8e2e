from marjoramgrade.adapters.httpresources import NAME_PATTERN, HttpCall, iter_paths
from marjoramgrade.model import Config


def test_a_deletion_answers_the_version_to_wait_for() -> None:
    """Guards against reporting a deleted key as withdrawn while zones accept it."""
    operations = dict(iter_paths())[rf"/v1/keys/{NAME_PATTERN}"]
    call = HttpCall(("acme-key",), {}, b"", "r", 1_000)
    answer = operations["DELETE"].serialize(call, Config(version=7))
    assert answer.headers["ETag"] == '"7"'
