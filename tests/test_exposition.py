"""Metrics as text."""

from marjoramgrade.exposition import ServedMetrics


def test_counts_and_times_are_shown():
    # Guards against an operator who sees no reason and no latency.
    metrics = ServedMetrics()
    metrics.retried("start_refused")
    metrics.timing("commit", 15)
    metrics.timing("commit", 900)
    text = metrics.render().decode()
    assert 'marjoramgrade_retried_total{reason="start_refused"} 1.0' in text
    assert 'marjoramgrade_commit_ms_bucket{le="20.0"} 1.0' in text
    assert "marjoramgrade_commit_ms_count 2.0" in text
