"""Tests of finding a queue by its path and a team by its key."""

from __future__ import annotations

from marjoramgrade.stepconfig import Queue, StepConfig, TeamPolicy


def test_longest_prefix_wins():
    # Guards against routing a job to a queue whose shorter prefix also matches.
    short, long = Queue("s", "h", "/a/", "p"), Queue("l", "h", "/a/b/", "p")
    config = StepConfig(1, {"s": short, "l": long})
    assert config.find_queue("h", "/a/b/0011") is long
    assert config.find_queue("h", "/a/0011") is short
    assert config.find_queue("other", "/a/0011") is None


def test_key_finds_its_team():
    # Guards against charging work to another team.
    teams = {name: TeamPolicy(name, frozenset({f"key-{name}"})) for name in "ab"}
    config = StepConfig(1, {}, {}, teams)
    assert config.find_team("key-b").name == "b"
    assert config.find_team("") is None
