"""Tests limits and weights of teams."""

from __future__ import annotations

from marjoramgrade.decisions.teamusage import TeamUsage
from marjoramgrade.resources import Resources
from marjoramgrade.stepconfig import TeamPolicy
from tests.steps import cores


def test_limit_of_zero_means_none():
    # Guards against treating a limit of 0 as no capacity at all; 0 means no limit.
    usage = TeamUsage()
    policies = {"red": TeamPolicy("red", limit=Resources(cpu_millis=2_000))}
    assert usage.has_capacity("red", cores(2, 10**6), policies)
    assert not usage.has_capacity("red", cores(2.1), policies)
    assert usage.has_capacity("unknown", cores(100), policies)
    usage.add("", cores(1))
    assert usage.has_capacity("", cores(100), policies)


def test_team_without_a_known_limit_runs_one_task_at_a_time():
    # Guards against a team that has no limit at all since the configuration lacks it.
    usage = TeamUsage()
    assert usage.has_capacity("removed", cores(100), {})
    usage.add("removed", cores(1))
    assert not usage.has_capacity("removed", cores(1), {})
    usage.remove("removed", cores(1))
    assert usage.has_capacity("removed", cores(100), {})


def test_team_that_was_removed_keeps_its_last_limit():
    # Guards against the jobs of a removed team, which take the workers from all others
    # or wait for each other.
    usage = TeamUsage()
    usage.keep_limits({"red": TeamPolicy("red", limit=Resources(cpu_millis=2_000))})
    usage.add("red", cores(1))
    assert usage.has_capacity("red", cores(1), {})
    assert not usage.has_capacity("red", cores(1.1), {})


def test_jobs_beyond_the_weight_are_detected():
    # Guards against a team that displaces others by submitting more jobs.
    usage, policy = TeamUsage(), TeamPolicy("red", weight=2.0)
    results = [usage.is_beyond_weight(policy, 100 * n) for n in range(20)]
    assert results.count(False) in (5, 6)
