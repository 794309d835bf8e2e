"""A short run of the fault soak."""

from __future__ import annotations

import asyncio

import pytest

from soak.run import run_seed

SECONDS = 8.0


@pytest.mark.parametrize("seed", [1])
def test_promises_hold_in_a_short_soak(seed):
    # Guards against lost, doubled or overcommitted work while faults overlap.
    assert asyncio.run(run_seed(seed, SECONDS, None))
