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


def test_jobs_beyond_the_weight_are_detected():
    # Guards against a team that displaces others by submitting more jobs.
    usage, policy = TeamUsage(), TeamPolicy("red", weight=2.0)
    results = [usage.is_beyond_weight(policy, 100 * n) for n in range(20)]
    assert results.count(False) in (5, 6)
