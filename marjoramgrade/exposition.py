"""Metrics exposed over HTTP in the Prometheus text format.

`prometheus_client` is imported at the first scrape, because its import takes a tenth
of the startup time of an instance, during which its clients wait.
"""

from __future__ import annotations

import bisect
import time
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import attrs
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from marjoramgrade.adapters.httpserver import DrainingHttpServer, PortLimits
from marjoramgrade.adapters.intake import Intake
from marjoramgrade.metrics import Metrics

if TYPE_CHECKING:
    from prometheus_client import Metric

PREFIX = "marjoramgrade_"
# Upper bounds of the buckets, from the time of one hop between instances to that of
# the longest job.
BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 15_000, 60_000)
PATH = "/metrics"
# Responses within this time are the same, because rendering takes milliseconds. A
# scraper comes once in several seconds.
RENDERED_S = 0.25
MAX_HEADER_BYTES = 16_384
# A scrape has no body.
MAX_BODY_BYTES = 4_096
IDLE_TIMEOUT_MS = 60_000


@attrs.define
class _Histogram:
    """Histogram of the durations of one metric.

    Attributes:
        counts: Number of durations in each bucket; the last bucket has no bound.
        total_ms: Sum of the durations.
    """

    counts: list[int] = attrs.field(factory=lambda: [0] * (len(BUCKETS_MS) + 1))
    total_ms: float = 0.0

    def add(self, elapsed_ms: float) -> None:
        """Count a duration in the lowest bucket whose bound it does not exceed."""
        self.counts[bisect.bisect_left(BUCKETS_MS, elapsed_ms)] += 1
        self.total_ms += elapsed_ms

    def cumulative_buckets(self) -> list[tuple[str, float]]:
        """Return for each bound how many durations do not exceed it."""
        bounds = [str(float(bound)) for bound in BUCKETS_MS] + ["+Inf"]
        return [
            (bound, float(sum(self.counts[: position + 1])))
            for position, bound in enumerate(bounds)
        ]


class PrometheusMetrics(Metrics):
    """Counters, gauges and latency histograms for a Prometheus server to scrape."""

    def __init__(self) -> None:
        super().__init__()
        self._histogram_by_name: dict[str, _Histogram] = {}
        self._rendered = b""
        self._rendered_s = -RENDERED_S

    def record_timing(self, name: str, elapsed_ms: float) -> None:
        """Add a duration to its histogram."""
        self._histogram_by_name.setdefault(name, _Histogram()).add(elapsed_ms)

    def flush(self) -> None:
        """Do nothing, since metrics are scraped and not sent."""

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        # The registry accepts any object that has a `collect` method.
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics; the `reason` label names a member of a family."""
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
        for name, times in sorted(self._histogram_by_name.items()):
            yield HistogramMetricFamily(
                f"{PREFIX}{name}_ms",
                f"{name} in milliseconds",
                buckets=times.cumulative_buckets(),
                sum_value=times.total_ms,
            )

    def make_server(self, intake: Intake | None = None) -> DrainingHttpServer:
        """Return the HTTP server of the metrics, not yet listening."""
        intake = intake or Intake.from_config()
        return DrainingHttpServer(
            self._respond,
            max_header_size=MAX_HEADER_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_MS / 1000,
            intake=intake,
            limits=PortLimits(
                MAX_BODY_BYTES, intake.bounds.side_connections, "metrics"
            ),
        )

    def _render_recent(self) -> bytes:
        now_s = time.monotonic()
        if now_s - self._rendered_s >= RENDERED_S:
            self._rendered, self._rendered_s = self.render(), now_s
        return self._rendered

    def _respond(self, request: HTTPServerRequest) -> None:
        connection: Any = request.connection
        if connection is None:
            return
        status = 200 if request.path == PATH else 404
        body = self._render_recent() if status == 200 else b""
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
