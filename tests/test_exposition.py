"""Tests of metrics in the Prometheus text format."""

from marjoramgrade.exposition import PrometheusMetrics


def test_counts_and_times_are_shown():
    # Guards against retry reasons and latencies that are missing from the output.
    metrics = PrometheusMetrics()
    metrics.retried("start_refused")
    metrics.timing("commit", 15)
    metrics.timing("commit", 900)
    text = metrics.render().decode()
    assert 'marjoramgrade_retried_total{reason="start_refused"} 1.0' in text
    assert 'marjoramgrade_commit_ms_bucket{le="20.0"} 1.0' in text
    assert "marjoramgrade_commit_ms_count 2.0" in text


def test_a_histogram_counts_a_time_in_every_bucket_that_it_does_not_exceed():
    # Guards against percentiles that are off by one bucket.
    metrics = PrometheusMetrics()
    for elapsed_ms in (1, 1.5, 60_000, 90_000):
        metrics.timing("job", elapsed_ms)
    text = metrics.render().decode()
    assert 'marjoramgrade_job_ms_bucket{le="1.0"} 1.0' in text
    assert 'marjoramgrade_job_ms_bucket{le="2.0"} 2.0' in text
    assert 'marjoramgrade_job_ms_bucket{le="60000.0"} 3.0' in text
    assert 'marjoramgrade_job_ms_bucket{le="+Inf"} 4.0' in text
    assert "marjoramgrade_job_ms_sum 150002.5" in text
