"""Until when requests may begin and wait while a process stops, without a network."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from marjoramgrade.clock import ManualClock
from marjoramgrade.decisions.intake.bounds import IntakeBounds
from marjoramgrade.decisions.intake.connections import ConnectionUse, Phase
from marjoramgrade.decisions.intake.precedence import NEW_CONNECTION_MS, is_idle
from marjoramgrade.decisions.stopping.answers import WorkKind, end_wait, refuse
from marjoramgrade.decisions.stopping.schedule import (
    FLUSH_MS,
    HANDOVER_MS,
    NOTICE_MS,
    SERVICE_MS,
    StopPhase,
    StopSchedule,
)
from marjoramgrade.decisions.stopping.servicetimes import (
    MAX_AGE_MS,
    MIN_TIMES,
    ServiceTimes,
)
from marjoramgrade.errors import MarjoramgradeError, Ran
from marjoramgrade.platform.frontend import MAX_BODY_BYTES, UNREADY_CHECKS
from marjoramgrade.stopping import RequestProgress, Stopping

GRACE_MS = 6_000
# The slowest link and the smallest memory of the users' deployments, and how often
# their load balancer checks.
SLOWEST_LINK_MBPS = 10
SMALLEST_MEMORY_MB = 200
CHECK_INTERVAL_MS = 1_000
# Headers and body of an answer without a result, with room to spare.
ANSWER_BYTES = 400


@given(st.integers(0, 10**12), st.integers(0, 600_000))
def test_phases_follow_each_other_within_the_time_of_the_stop(began_ms, grace_ms):
    # Guards against a wait that ends after the process does, for any grace.
    schedule = StopSchedule.from_config(began_ms, grace_ms)
    assert schedule.exit_ms == began_ms + grace_ms
    assert (
        began_ms
        <= schedule.idle_ms
        <= schedule.refuse_ms
        <= schedule.answer_ms
        <= schedule.close_ms
        <= schedule.exit_ms
    )
    phases = [
        schedule.phase(at_ms)
        for at_ms in (
            schedule.refuse_ms - 1,
            schedule.answer_ms,
            schedule.close_ms,
        )
    ]
    assert phases[0] in (StopPhase.SERVING, phases[1])
    assert phases[2] is StopPhase.CLOSING


@given(st.integers(0, 10**12), st.integers(0, 600_000))
def test_phases_of_a_stop_with_handover_follow_each_other(began_ms, drain_ms):
    # Guards against a wait that outlasts `shutdown_ms`, or a handover without time.
    schedule = StopSchedule.from_drain(began_ms, drain_ms)
    times = attrs.astuple(schedule)
    assert list(times) == sorted(times)
    assert schedule.answer_ms == began_ms + drain_ms
    assert schedule.close_ms == schedule.answer_ms + HANDOVER_MS


@given(st.integers(0, 7_000), st.integers(0, 7_000))
def test_process_that_fails_while_it_stops_does_not_stop_later(failed_ms, grace_ms):
    # Guards against an end that a failure moves beyond the kill.
    planned = StopSchedule.from_config(0, grace_ms)
    failed = StopSchedule.at_once(failed_ms).no_later_than(planned)
    assert failed.exit_ms <= planned.exit_ms
    assert failed.answer_ms <= failed.close_ms <= failed.exit_ms


def test_flush_takes_the_answers_of_all_clients_over_the_slowest_link():
    # Guards against answers that are all ready at the same moment and cut off.
    clients = IntakeBounds.from_config(SMALLEST_MEMORY_MB).client_connections
    schedule = StopSchedule.from_config(0, GRACE_MS)
    bits = 8 * clients * ANSWER_BYTES
    assert bits / (1_000 * SLOWEST_LINK_MBPS) < schedule.close_ms - schedule.answer_ms
    assert schedule.close_ms - schedule.answer_ms == FLUSH_MS


def test_last_request_has_time_for_the_largest_body_over_the_slowest_link():
    # Guards against a last phase in which no request of legal size can be served.
    schedule = StopSchedule.from_config(0, GRACE_MS)
    assert 8 * MAX_BODY_BYTES / (1_000 * SLOWEST_LINK_MBPS) < SERVICE_MS
    assert schedule.answer_ms - schedule.refuse_ms == SERVICE_MS


def test_idle_connections_stay_until_the_balancer_has_checked_often_enough():
    # Guards against clients that are told to leave and sent back to this instance.
    assert NOTICE_MS > UNREADY_CHECKS * CHECK_INTERVAL_MS
    assert StopSchedule.from_config(0, GRACE_MS).idle_ms == NOTICE_MS


def test_request_that_lately_took_longer_than_what_is_left_may_not_begin():
    # Guards against a request that waits in vain until all waits end.
    schedule, times = StopSchedule.from_config(0, GRACE_MS), ServiceTimes()
    now_ms = schedule.refuse_ms - 100
    assert schedule.may_begin(now_ms, times.expected_ms(now_ms))
    for _ in range(MIN_TIMES):
        times.add(now_ms, 1_000)
    assert not schedule.may_begin(now_ms, times.expected_ms(now_ms))
    later_ms = now_ms + MAX_AGE_MS + 1
    assert times.expected_ms(later_ms) == 0


def test_few_slow_requests_refuse_no_others():
    # Guards against requests that are refused because of one that was slow.
    times = ServiceTimes()
    times.add(0, 5_000)
    assert times.expected_ms(1) == 0
    for _ in range(MIN_TIMES):
        times.add(1, 10)
    assert times.expected_ms(2) == 10


@pytest.mark.parametrize("kind", WorkKind)
def test_answers_are_true(kind):
    # Guards against a caller who is told that a job did not run which may have, by an
    # earlier attempt or after its wait has ended.
    assert refuse(kind).ran is (Ran.UNKNOWN if kind is WorkKind.SUBMISSION else Ran.NO)
    assert end_wait(kind).ran is (Ran.NO if kind is WorkKind.READ else Ran.UNKNOWN)


async def ended_waits(stopping, kinds, stop):
    """Run endless waits, stop, and return the error and the duration of each."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()

    async def wait(kind):
        try:
            with stopping.track(RequestProgress()):
                async with stopping.bound(kind, "front"):
                    await asyncio.sleep(60)
        except MarjoramgradeError as error:
            return error.ran, 1_000 * (loop.time() - began_s)

    waits = [asyncio.ensure_future(wait(kind)) for kind in kinds]
    await asyncio.sleep(0)
    stop()
    async with asyncio.timeout(10):
        return await asyncio.gather(*waits)


def test_waits_that_began_before_the_stop_end_in_time():
    # Guards against a request in flight at SIGTERM whose wait outlasts the process.
    async def run():
        stopping = Stopping()
        kinds = (WorkKind.READ, WorkKind.CHANGE, WorkKind.SUBMISSION)
        ended = await ended_waits(stopping, kinds, lambda: stopping.begin(2_000))
        assert [ran for ran, _ in ended] == [Ran.NO, Ran.UNKNOWN, Ran.UNKNOWN]
        assert all(1_500 <= took_ms < 2_000 for _, took_ms in ended)
        with pytest.raises(MarjoramgradeError):
            stopping.check_may_begin(WorkKind.READ, "front")

    asyncio.run(run())


def test_waits_end_at_once_when_the_process_has_failed():
    # Guards against callers of a failed process who wait for the rest of a stop.
    async def run():
        stopping = Stopping()

        def stop():
            stopping.begin(8_000)
            stopping.end_now()

        (ended,) = await ended_waits(stopping, [WorkKind.CHANGE], stop)
        assert ended[0] is Ran.UNKNOWN
        assert ended[1] < 1_000

    asyncio.run(run())


def test_time_limit_of_a_request_itself_is_not_taken_for_the_stop():
    # Guards against an error of the request that is reported as the stop of the
    # process.
    async def run():
        stopping = Stopping()
        with pytest.raises(TimeoutError):
            async with stopping.bound(WorkKind.READ, "front"), asyncio.timeout(0):
                await asyncio.sleep(1)

    asyncio.run(run())


def test_connection_is_idle_only_if_its_client_neither_sent_nor_awaits_anything():
    # Guards against a client whose request is on its way when the idle are closed.
    clock = ManualClock(1_000)
    use = ConnectionUse.opened(clock.now_ms())
    assert not is_idle(use, clock.now_ms())
    clock.advance(NEW_CONNECTION_MS)
    assert is_idle(use, clock.now_ms())
    use.record_unread(clock.now_ms())
    clock.advance(NEW_CONNECTION_MS)
    assert not is_idle(use, clock.now_ms())
    use.has_unread = False
    for field in ("has_read", "is_waiting"):
        setattr(use, field, True)
        clock.advance(10 * NEW_CONNECTION_MS)
        assert not is_idle(use, clock.now_ms())
        setattr(use, field, False)
    assert is_idle(use, clock.now_ms())
    for phase in (Phase.RECEIVING, Phase.SERVED):
        use.enter(phase, 0)
        assert not is_idle(use, clock.now_ms())
    use.enter(Phase.IDLE, 0)
    use.unsent_bytes = 1
    assert not is_idle(use, clock.now_ms())
