"""Counters, gauges and times, and the registry of their names.

Every name is declared with its kind, unit and meaning; `docs/metrics.md` lists
them. A name that ends in `.*` stands for a family, such as `refused.<code>`.
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

# Bounds the samples that wait for a flush while the caller does not flush.
MAX_PENDING_TIMINGS = 10_000


class MetricKind(enum.Enum):
    """The kinds of metric that statsd knows."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@attrs.frozen
class Metric:
    """A declared metric.

    Attributes:
        name: Its name, or the name of a family that ends in `.*`.
        kind: Its kind.
        unit: What one counts, in the plural or as a unit of measure.
        meaning: What it says, in one sentence.
    """

    name: str
    kind: MetricKind
    unit: str
    meaning: str


METRICS: Registry[Metric] = Registry("metric")


def declare(name: str, kind: MetricKind, unit: str, meaning: str) -> Metric:
    """Add a metric to the registry.

    Args:
        name: Its name; a name that ends in `.*` declares a family.
        kind: Its kind.
        unit: What one counts.
        meaning: What it says, in one sentence.
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
    "commit",
    MetricKind.TIMING,
    "milliseconds",
    "Time of a transaction of the leader, attempts included.",
)
declare(
    "job",
    MetricKind.TIMING,
    "milliseconds",
    "Time from the hand-in of a job of steps to its end.",
)
declare(
    "ended.*",
    MetricKind.COUNTER,
    "jobs",
    "Jobs of steps that ended, by their state.",
)
declare(
    "stopped.*",
    MetricKind.COUNTER,
    "runs",
    "Runs that the leader stopped, by the reason.",
)


def iter_metrics() -> Iterator[Metric]:
    """Yield the declared metrics in alphabetical order."""
    return (METRICS.get(name) for name in METRICS.iter_names())


class Metrics(abc.ABC):
    """Base class of metrics.

    Attributes:
        count_by_name: Every counter since the start of the process.
        gauge_by_name: The latest value of every gauge.
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
        """Record a time in milliseconds.

        Raises:
            UnknownNameError: If no timing of this name is declared.
        """
        _check(name, MetricKind.TIMING)
        self.record_timing(name, elapsed_ms)

    def refused(self, error: MarjoramgradeError) -> None:
        """Count a refusal under the code of its error."""
        known = any(kind.code == error.code for kind in iter_error_types())
        # Another process chooses a foreign code, so it must not become a name.
        self.count(f"refused.{error.code if known else 'other'}")

    def retried(self, reason: str) -> None:
        """Count another attempt under its reason."""
        self.count(f"retried.{reason}")

    @abc.abstractmethod
    def record_timing(self, name: str, elapsed_ms: float) -> None:
        """Keep or send a time; called by `timing`."""

    @abc.abstractmethod
    def flush(self) -> None:
        """Send what has changed since the last call."""

    def close(self) -> None:
        """Send what is left and release the socket, if there is one."""
        self.flush()


# Also keeps the separators of the statsd protocol out of names.
_MEMBER = re.compile(r"[a-z][a-z0-9_]{0,63}")


# Metric names recur, and a look-up per count would cost more than the count.
@functools.cache
def _kind_of(name: str) -> MetricKind:
    family, _, member = name.partition(".")
    if f"{family}.*" in METRICS.iter_names() and _MEMBER.fullmatch(member):
        return METRICS.get(f"{family}.*").kind
    return METRICS.get(name).kind


def _check(name: str, kind: MetricKind) -> None:
    if _kind_of(name) is not kind:
        raise ValueError(f"{name} is no {kind.value}")


class MemoryMetrics(Metrics):
    """Metrics that stay in the process.

    Attributes:
        timings_by_name: The recorded times in milliseconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.timings_by_name: dict[str, list[float]] = {}

    def record_timing(self, name: str, elapsed_ms: float) -> None:
        """Keep a time."""
        self.timings_by_name.setdefault(name, []).append(elapsed_ms)

    def flush(self) -> None:
        """Do nothing."""


class StatsdMetrics(Metrics):
    """Metrics that go to a statsd server over UDP.

    Counts are summed in the process and sent by `flush`, since one datagram for
    each of thousands of events a second would cost more than the events.

    Args:
        host: IP number of the server.
        port: UDP port of the server.
        prefix: What every name on the server starts with.
    """

    def __init__(self, host: str, port: int, prefix: str = "marjoramgrade") -> None:
        super().__init__()
        self._client = StatsClient(host, port, prefix=prefix, ipv6=":" in host)
        self._sent_by_name: Counter[str] = Counter()
        self._timings: list[tuple[str, float]] = []

    def record_timing(self, name: str, elapsed_ms: float) -> None:
        """Keep a time until the next flush; beyond a bound it is dropped."""
        if len(self._timings) < MAX_PENDING_TIMINGS:
            self._timings.append((name, elapsed_ms))

    def flush(self) -> None:
        """Send counts, gauges and times in as few datagrams as possible."""
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
        """Send what is left and close the socket."""
        super().close()
        self._client.close()


def from_config(host: str, port: int) -> Metrics:
    """Return statsd metrics, or metrics in memory if no host is set."""
    return StatsdMetrics(host, port) if host else MemoryMetrics()
