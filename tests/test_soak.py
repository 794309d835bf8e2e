"""A short soak run under overlapping faults."""

from __future__ import annotations

import asyncio
import functools

import pytest

from soak.refusals import run_refusals
from soak.run import run_in_folder, run_seed, run_stops

SECONDS = 8.0


@pytest.mark.parametrize("seed", [1])
def test_promises_hold_in_a_short_soak(seed):
    # Guards against lost or duplicate work and overcommitted workers under faults.
    assert asyncio.run(run_seed(seed, SECONDS, None))


@pytest.mark.parametrize("seed", [2])
def test_promises_hold_beside_clients_that_do_not_keep_the_limits(seed):
    # Guards against lost work, or an instance that grows beyond its memory, where
    # crowds of such clients and other faults overlap.
    assert asyncio.run(run_seed(seed, SECONDS, None, is_untrusted=True))


@pytest.mark.parametrize("seed", [17])
def test_refused_jobs_do_not_run(seed):
    # Guards against a 429 or 503 for a job that was accepted at an earlier attempt.
    play = functools.partial(run_refusals, seconds=SECONDS)
    assert asyncio.run(run_in_folder(seed, play, None))


@pytest.mark.parametrize("seed", [73])
def test_refused_jobs_do_not_run_while_instances_are_cut_off(seed):
    # Guards against a 503 by a leader that has been replaced without its knowledge
    # (issue 29: broken on 0060460).
    play = functools.partial(run_refusals, seconds=12.0, is_isolating=True)
    assert asyncio.run(run_in_folder(seed, play, None))


@pytest.mark.parametrize("seed", [5])
def test_requests_are_answered_while_instances_stop_in_series(seed):
    # Guards against requests that are cut off without an answer, idle connections that
    # are not closed, and processes that end only by SIGKILL, where the leader and the
    # instance that a request is passed on to stop as well (issue 51: broken on
    # 84dd4b4).
    play = functools.partial(run_stops, seconds=4.0)
    assert asyncio.run(run_in_folder(seed, play, None))
