import importlib
import pathlib
import pkgutil
import socket

import pytest

import marjoramgrade
from marjoramgrade import metrics
from marjoramgrade.errors import OverLimitError, from_code
from marjoramgrade.metrics import MemoryMetrics, Metrics, StatsdMetrics
from marjoramgrade.registry import UnknownNameError

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "metrics.md"
LATENCY = metrics.declare(
    "test_latency", metrics.MetricKind.TIMING, "ms", "A timing for this test."
)


def test_the_page_and_the_registry_are_equal() -> None:
    """Guards against undocumented metrics and documented ones that do not exist."""
    for module in pkgutil.walk_packages(marjoramgrade.__path__, "marjoramgrade."):
        if not module.name.endswith("__main__"):
            importlib.import_module(module.name)
    expected = [
        f"| `{m.name}` | {m.kind.value} | {m.unit} | {m.meaning} |"
        for m in metrics.iter_metrics()
        if not m.name.startswith("test_")
    ]
    lines = PAGE.read_text().splitlines()
    assert [line for line in lines if line.startswith("| `")] == expected


def test_refusals_and_retries_are_counted_by_code_and_reason() -> None:
    """Guards against refusals and retries that no counter reports."""
    recorded: Metrics = MemoryMetrics()
    recorded.refused(OverLimitError("over the limit"))
    recorded.refused(OverLimitError("over the limit"))
    recorded.refused(from_code("chosen:by\nothers", "", {}))
    recorded.retried("worker_lost")
    assert recorded.count_by_name == {
        "refused.over_limit": 2,
        "refused.other": 1,
        "retried.worker_lost": 1,
    }


@pytest.mark.parametrize("name", ["nosuch", "refused.", "refused.a:1|c", "refused"])
def test_a_name_that_is_not_declared_is_an_error(name: str) -> None:
    """Guards against counts that are lost because a name is misspelt."""
    with pytest.raises(UnknownNameError):
        MemoryMetrics().count(name)


def test_a_metric_of_another_kind_is_an_error() -> None:
    """Guards against a counter that is set as a gauge."""
    with pytest.raises(ValueError, match="is not a gauge"):
        MemoryMetrics().gauge("refused.overloaded", 1)


def test_statsd_gets_sums_once() -> None:
    """Guards against lost or repeated counts, and one datagram for each event."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(5)
        statsd = StatsdMetrics("127.0.0.1", server.getsockname()[1])
        for _ in range(3):
            statsd.retried("slow")
        statsd.timing(LATENCY.name, 2)
        statsd.flush()
        lines = server.recv(2048).decode().splitlines()
        assert lines == [
            "marjoramgrade.retried.slow:3|c",
            "marjoramgrade.test_latency:2.000000|ms",
        ]
        statsd.retried("slow")
        statsd.close()
        assert server.recv(2048) == b"marjoramgrade.retried.slow:1|c"


def test_no_statsd_host_means_metrics_in_memory() -> None:
    """Guards against datagrams that are sent to an empty address."""
    assert isinstance(metrics.from_config("", 8125), MemoryMetrics)
