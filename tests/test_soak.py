"""A short soak run under overlapping faults."""

from __future__ import annotations

import asyncio

import pytest

from soak.run import run_seed

SECONDS = 8.0


@pytest.mark.parametrize("seed", [1])
def test_promises_hold_in_a_short_soak(seed):
    # Guards against lost or duplicate work and overcommitted workers under faults.
    assert asyncio.run(run_seed(seed, SECONDS, None))
