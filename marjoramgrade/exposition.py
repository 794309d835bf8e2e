"""Metrics that are read over HTTP in the usual text format.

The library that renders them is imported at the first fetch, because its import takes
a tenth of the start of an instance, during which its callers wait.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import attrs
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from marjoramgrade.metrics import Metrics

if TYPE_CHECKING:
    from prometheus_client import Metric

PREFIX = "marjoramgrade_"
# From one hop between instances to the longest job, in milliseconds.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 15_000, 60_000)
PATH = "/metrics"


@attrs.define
class _Times:
    """The times of one name: how many lie below each bound, and their sum."""

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    total_ms: float = 0.0

    def add(self, elapsed_ms: float) -> None:
        """Count a time under the lowest bound that it does not exceed."""
        self.counts[bisect.bisect_left(BUCKETS_MS, elapsed_ms)] += 1
        self.total_ms += elapsed_ms

    def cumulative(self) -> list[tuple[str, float]]:
        """Return for each bound how many times do not exceed it."""
        bounds = [str(float(bound)) for bound in BUCKETS_MS] + ["+Inf"]
        return [
            (bound, float(sum(self.counts[: position + 1])))
            for position, bound in enumerate(bounds)
        ]


class PrometheusMetrics(Metrics):
    """Counters, gauges and latency histograms that others fetch."""

    def __init__(self) -> None:
        super().__init__()
        self._times_by_name: dict[str, _Times] = {}

    def record_timing(self, name: str, elapsed_ms: float) -> None:
        """Count a time in its histogram."""
        self._times_by_name.setdefault(name, _Times()).add(elapsed_ms)

    def flush(self) -> None:
        """Do nothing; metrics are fetched."""

    def render(self) -> bytes:
        """Return all metrics as text."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        # The registry only asks for `collect`, which this class provides.
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield each counter, the members of a family by label, gauges and times."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        families: dict[str, CounterMetricFamily] = {}
        for name, total in sorted(self.count_by_name.items()):
            family, _, member = name.partition(".")
            if family not in families:
                families[family] = CounterMetricFamily(
                    f"{PREFIX}{family}", family, labels=["reason"]
                )
            families[family].add_metric([member], total)
        yield from families.values()
        for name, value in sorted(self.gauge_by_name.items()):
            yield GaugeMetricFamily(f"{PREFIX}{name}", name, value)
        for name, times in sorted(self._times_by_name.items()):
            yield HistogramMetricFamily(
                f"{PREFIX}{name}_ms",
                f"{name} in milliseconds",
                buckets=times.cumulative(),
                sum_value=times.total_ms,
            )

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
