"""Metrics that are read over HTTP in the usual text format."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from marjoramgrade.metrics import Metrics

PREFIX = "marjoramgrade_"
# From one hop between instances to the longest job, in milliseconds.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 15_000, 60_000)
PATH = "/metrics"


class ServedMetrics(Metrics):
    """Counters, gauges and latency histograms that others fetch."""

    def __init__(self) -> None:
        super().__init__()
        self._registry = CollectorRegistry()
        self._registry.register(_Counts(self))
        self._histogram_by_name: dict[str, Histogram] = {}

    def record_timing(self, name: str, elapsed_ms: float) -> None:
        """Count a time in its histogram."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = Histogram(
                f"{PREFIX}{name}_ms",
                f"{name} in milliseconds",
                registry=self._registry,
                buckets=BUCKETS_MS,
            )
            self._histogram_by_name[name] = histogram
        histogram.observe(elapsed_ms)

    def flush(self) -> None:
        """Do nothing; metrics are fetched."""

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self._registry)

    def make_server(self) -> HTTPServer:
        """Return the server of the metrics, not yet listening."""
        return HTTPServer(self._answer)

    def _answer(self, request: HTTPServerRequest) -> None:
        connection: Any = request.connection
        if connection is None:
            return
        status = 200 if request.path == PATH else 404
        body = self.render() if status == 200 else b""
        headers = HTTPHeaders(
            {
                "Content-Type": "text/plain; version=0.0.4",
                "Content-Length": str(len(body)),
            }
        )
        written = connection.write_headers(
            ResponseStartLine("HTTP/1.1", status, ""), headers, body
        )
        written.add_done_callback(lambda done: done.cancelled() or done.exception())
        connection.finish()


class _Counts(Collector):
    """Presents the counters and gauges as they are when they are fetched."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[CounterMetricFamily | GaugeMetricFamily]:
        """Yield each counter, the members of a family by label, and each gauge."""
        families: dict[str, CounterMetricFamily] = {}
        for name, total in sorted(self._metrics.count_by_name.items()):
            family, _, member = name.partition(".")
            if family not in families:
                families[family] = CounterMetricFamily(
                    f"{PREFIX}{family}", family, labels=["reason"]
                )
            families[family].add_metric([member], total)
        yield from families.values()
        for name, value in sorted(self._metrics.gauge_by_name.items()):
            yield GaugeMetricFamily(f"{PREFIX}{name}", name, value)
