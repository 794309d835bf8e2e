"""Counters, gauges and timings, and the registry of declared metrics.

Every metric is declared with its kind, unit and meaning; `docs/metrics.md` lists
them all. A name that ends in `.*` declares a family, such as `refused.<code>`.
"""

from __future__ import annotations

import abc
import enum
import functools
import re
from collections import Counter
from collections.abc import Iterator

import attrs
from statsd import StatsClient

from marjoramgrade.errors import MarjoramgradeError, iter_error_types
from marjoramgrade.registry import Registry

# Bounds the memory for unsent timings when `flush` is not called.
MAX_PENDING_TIMINGS = 10_000


class MetricKind(enum.Enum):
    """The statsd metric types that are used."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@attrs.frozen
class Metric:
    """A declared metric.

    Attributes:
        name: Name of the metric, or of a family if it ends in `.*`.
        kind: Type of the metric.
        unit: What is counted, in the plural, or the unit of measure.
        meaning: Description in one sentence.
    """

    name: str
    kind: MetricKind
    unit: str
    meaning: str


METRICS: Registry[Metric] = Registry("metric")


def declare(name: str, kind: MetricKind, unit: str, meaning: str) -> Metric:
    """Register a metric and return it.

    Args:
        name: Name of the metric; a name that ends in `.*` declares a family.
        kind: Type of the metric.
        unit: What is counted, in the plural, or the unit of measure.
        meaning: Description in one sentence.
    """
    return METRICS.register(name)(Metric(name, kind, unit, meaning))


declare(
    "refused.*",
    MetricKind.COUNTER,
    "requests and jobs",
    "Work refused, by the code of the error; `refused.other` for a foreign code.",
)
declare(
    "retried.*",
    MetricKind.COUNTER,
    "attempts",
    "Further attempts of a request, a task or a write, by their reason.",
)


declare(
    "promise_refused.*",
    MetricKind.COUNTER,
    "requests",
    "Promises refused to a peer that cannot reach the table, by the reason.",
)
declare(
    "config_attested",
    MetricKind.COUNTER,
    "confirmations",
    "Times that promises of all members confirmed the configuration.",
)
declare(
    "ownership_attested",
    MetricKind.COUNTER,
    "extensions",
    "Times that promises extended the ownership of a shard.",
)


declare(
    "request",
    MetricKind.TIMING,
    "milliseconds",
    "Time to answer a call of a caller to a queue.",
)
declare(
    "config_age",
    MetricKind.TIMING,
    "milliseconds",
    "Time since the store confirmed the configuration that an answer was given under.",
)
declare(
    "commit",
    MetricKind.TIMING,
    "milliseconds",
    "Time of a transaction of the leader, attempts included.",
)
declare(
    "plan",
    MetricKind.TIMING,
    "milliseconds",
    "Time of a plan of the leader; a pause of three times as long follows it.",
)
declare(
    "job",
    MetricKind.TIMING,
    "milliseconds",
    "Time from the hand-in of a job of steps to its end.",
)
declare(
    "job_refused.*",
    MetricKind.COUNTER,
    "jobs",
    "Jobs of steps that the leader did not admit, by the reason.",
)
declare(
    "ended.*",
    MetricKind.COUNTER,
    "jobs",
    "Jobs of steps that ended, by their state.",
)
declare(
    "ended_while_stopping.*",
    MetricKind.COUNTER,
    "requests",
    "Requests that ended after the process was told to stop: `answered`, `cut`, "
    "`left`.",
)
declare(
    "set_aside.*",
    MetricKind.COUNTER,
    "failures",
    "Links that failed unexpectedly and were ended, by what is at the other end: "
    "`worker`, `peer`; the process and the other links went on.",
)
declare(
    "unreadable.*",
    MetricKind.COUNTER,
    "rows",
    "Rows of other writers that could not be decoded and were left out, by kind.",
)
declare(
    "rows_rejected",
    MetricKind.COUNTER,
    "rows",
    "Rows of the leader that the store refused as invalid.",
)
declare(
    "store_refused.*",
    MetricKind.COUNTER,
    "calls",
    "Calls that the store refused for their rate: `read`, `write`, `relayed`; and "
    "`alone`, each time that others were served meanwhile.",
)
declare(
    "stopped.*",
    MetricKind.COUNTER,
    "runs",
    "Runs that the leader stopped, by the reason.",
)
declare(
    "placement.*",
    MetricKind.COUNTER,
    "decisions",
    "Decisions on the place of a task that weigh speed or data, by their outcome.",
)
declare(
    "worker_speed.*",
    MetricKind.COUNTER,
    "changes",
    "Changes of the learned speed of a worker, by the new one.",
)


declare(
    "closed.*",
    MetricKind.COUNTER,
    "connections",
    "Connections closed for what they used or how long they took, by the reason.",
)
declare(
    "intake_connections",
    MetricKind.GAUGE,
    "connections",
    "Connections from outside that are open.",
)
declare(
    "intake_held_bytes",
    MetricKind.GAUGE,
    "bytes",
    "Bytes of bodies, frames and unread responses that connections from outside hold.",
)
declare(
    "not_held",
    MetricKind.COUNTER,
    "messages",
    "Complete requests and frames refused because there was no room to hold them.",
)


def iter_metrics() -> Iterator[Metric]:
    """Yield the declared metrics in alphabetical order."""
    return (METRICS.get(name) for name in METRICS.iter_names())


class Metrics(abc.ABC):
    """Counts events and records gauges and timings; subclasses store or send them.

    Attributes:
        count_by_name: Totals of the counters since the start of the process.
        gauge_by_name: Latest values of the gauges.
    """

    def __init__(self) -> None:
        self.count_by_name: Counter[str] = Counter()
        self.gauge_by_name: dict[str, float] = {}

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter.

        Raises:
            UnknownNameError: If no counter of this name is declared.
        """
        _check(name, MetricKind.COUNTER)
        self.count_by_name[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge.

        Raises:
            UnknownNameError: If no gauge of this name is declared.
        """
        _check(name, MetricKind.GAUGE)
        self.gauge_by_name[name] = value

    def timing(self, name: str, elapsed_ms: float) -> None:
        """Record a duration in milliseconds.

        Raises:
            UnknownNameError: If no timing of this name is declared.
        """
        _check(name, MetricKind.TIMING)
        self.record_timing(name, elapsed_ms)

    def refused(self, error: MarjoramgradeError) -> None:
        """Count a refused request or job under the code of its error."""
        known = any(kind.code == error.code for kind in iter_error_types())
        # An unknown code was chosen by another process, which must not be able to
        # create metrics.
        self.count(f"refused.{error.code if known else 'other'}")

    def retried(self, reason: str) -> None:
        """Count a retry under its reason."""
        self.count(f"retried.{reason}")

    @abc.abstractmethod
    def record_timing(self, name: str, elapsed_ms: float) -> None:
        """Store or send a duration; called by `timing` with a declared name."""

    @abc.abstractmethod
    def flush(self) -> None:
        """Send the changes since the last flush."""

    def close(self) -> None:
        """Flush, and release the socket if there is one."""
        self.flush()


# Member of a family. Excludes the separators of the statsd protocol, among other
# characters.
_MEMBER = re.compile(r"[a-z][a-z0-9_]{0,63}")


# Cached because names recur and a look-up would cost more than the count itself.
@functools.cache
def _kind_of(name: str) -> MetricKind:
    family, _, member = name.partition(".")
    if f"{family}.*" in METRICS.iter_names() and _MEMBER.fullmatch(member):
        return METRICS.get(f"{family}.*").kind
    return METRICS.get(name).kind


def _check(name: str, kind: MetricKind) -> None:
    if _kind_of(name) is not kind:
        raise ValueError(f"metric {name} is not a {kind.value}")


class MemoryMetrics(Metrics):
    """Metrics that are stored in memory and not sent.

    Attributes:
        timings_by_name: Recorded durations in milliseconds, oldest first.
    """

    def __init__(self) -> None:
        super().__init__()
        self.timings_by_name: dict[str, list[float]] = {}

    def record_timing(self, name: str, elapsed_ms: float) -> None:
        """Store a duration."""
        self.timings_by_name.setdefault(name, []).append(elapsed_ms)

    def flush(self) -> None:
        """Do nothing, since nothing is sent."""


class StatsdMetrics(Metrics):
    """Metrics that are sent to a statsd server over UDP.

    Counts are summed in the process and sent by `flush`, since one datagram for
    each of thousands of events per second would cost more than the events.

    Args:
        host: IP address of the server.
        port: UDP port of the server.
        prefix: First component of every metric name on the server.
    """

    def __init__(self, host: str, port: int, prefix: str = "marjoramgrade") -> None:
        super().__init__()
        self._client = StatsClient(host, port, prefix=prefix, ipv6=":" in host)
        self._sent_by_name: Counter[str] = Counter()
        self._timings: list[tuple[str, float]] = []

    def record_timing(self, name: str, elapsed_ms: float) -> None:
        """Store a duration until the next flush; drop it if too many are stored."""
        if len(self._timings) < MAX_PENDING_TIMINGS:
            self._timings.append((name, elapsed_ms))

    def flush(self) -> None:
        """Send counts, gauges and timings in as few datagrams as possible."""
        with self._client.pipeline() as pipe:
            for name, total in self.count_by_name.items():
                if total != self._sent_by_name[name]:
                    pipe.incr(name, total - self._sent_by_name[name])
            for name, value in self.gauge_by_name.items():
                pipe.gauge(name, value)
            for name, elapsed_ms in self._timings:
                pipe.timing(name, elapsed_ms)
        self._sent_by_name = self.count_by_name.copy()
        self._timings.clear()

    def close(self) -> None:
        """Flush and close the socket."""
        super().close()
        self._client.close()


def from_config(host: str, port: int) -> Metrics:
    """Return statsd metrics, or metrics in memory if `host` is empty."""
    return StatsdMetrics(host, port) if host else MemoryMetrics()
