import attrs
import pytest

from bench import measure
from bench.cells import DEPLOYMENTS, LEDGERWELL


def test_figures_follow_from_the_seed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against results that differ between runs with the same seed."""
    monkeypatch.setattr(measure, "WARM_UP_MS", 5_000)
    runs = [measure.run_full(LEDGERWELL, "ours", 15_000) for _ in range(2)]
    first, second = (attrs.evolve(run, cpu_us_per_start=0.0) for run in runs)
    assert first == second


@pytest.mark.parametrize("name", sorted(DEPLOYMENTS))
def test_a_full_cell_meets_the_targets_of_the_design_page(name: str) -> None:
    """Guards against unused capacity, unfair shares and long waits of urgent work."""
    figures = measure.run_full(DEPLOYMENTS[name], "ours", measure.UNTIL_MS)
    assert figures.packing is not None
    assert figures.packing >= 0.95
    assert figures.share_distance is not None
    assert figures.share_distance < 0.05
    assert figures.urgent_worst_ms is not None
    assert figures.urgent_worst_ms <= 6_100
