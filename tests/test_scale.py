from bench import scale


def test_decisions_meet_the_targets_of_the_design_page() -> None:
    """Guards against a cost per decision that grows with the size of the shard."""
    figures = scale.measure_latency(count=1_000)
    assert figures["running_tasks"] == 13_000
    assert figures["decision_p99_ms"] <= 1.0
    assert figures["scan_to_index"] >= 5.0
    assert figures["growth_200_to_2000"] < 1.5
    assert figures["starts_per_s"] >= 3_000


def test_cancelling_costs_no_more_than_placing() -> None:
    """Guards against a cancellation that searches the queue."""
    assert scale.measure_cancel()["cancel_to_place"] <= 1.0
