"""Shutdown of an instance on the users' platform."""

import asyncio
import time

import attrs

from marjoramgrade.clock import SystemClock
from marjoramgrade.decisions.stopping.schedule import NOTICE_SHARE
from marjoramgrade.platform.draining import (
    IDLE_BEFORE_EXIT_MS,
    POLL_MS,
    wait_until_drained,
)
from marjoramgrade.stopping import Stopping


@attrs.define
class Front:
    in_flight: int = 0
    has_connections: bool = False
    closed_idle_ms: list[float] = attrs.field(factory=list)
    began_s: float = attrs.field(factory=time.monotonic)
    last_used_ms: int = 0
    last_opened_ms: int = 0

    def open_connection(self):
        self.last_opened_ms = self.last_used_ms = SystemClock().now_ms()

    def close_idle(self):
        self.closed_idle_ms.append(1_000 * (time.monotonic() - self.began_s))


def drained_after_ms(front, release, grace_ms, during=None, is_noticed=lambda: True):
    async def drain():
        stopping = Stopping()
        stopping.begin(grace_ms)
        began_s = time.monotonic()
        await wait_until_drained(front, release, stopping, is_noticed)
        return 1_000 * (time.monotonic() - began_s)

    async def run():
        # The time counts to the end of the drain, whatever plays beside it goes on.
        took_ms, *_ = await asyncio.gather(drain(), *([during] if during else []))
        return took_ms

    return asyncio.run(run())


async def released():
    return None


def test_release_that_the_store_holds_up_does_not_delay_the_exit():
    # Guards against a process that is killed with requests in flight, because its
    # shutdown waited for a silent store before it began to count the time.
    async def held_up():
        await asyncio.sleep(60)

    front = Front(has_connections=True)
    assert drained_after_ms(front, held_up(), 2_000) < 2_000


def test_exit_waits_for_the_release():
    # Guards against a leader that leaves without releasing the leadership.
    done = []

    async def slow():
        await asyncio.sleep(0.3)
        done.append(True)

    took_ms = drained_after_ms(Front(), slow(), 5_000)
    assert done
    assert took_ms < 4_000


def test_exit_waits_for_requests_in_flight():
    # Guards against a shutdown that cuts off a request.
    front = Front(in_flight=1, has_connections=True)

    async def serve():
        await asyncio.sleep(0.4)
        front.in_flight, front.has_connections = 0, False

    took_ms = drained_after_ms(front, released(), 5_000, serve())
    assert IDLE_BEFORE_EXIT_MS + 400 - 2 * POLL_MS <= took_ms < 4_000


def test_instance_serves_until_the_load_balancer_has_noticed():
    # Guards against new connections that are refused, since the process ended before
    # the load balancer sent them elsewhere; and against idle connections that are
    # closed while their clients could only come back here.
    front = Front()
    noticed_ms = 600
    took_ms = drained_after_ms(
        front,
        released(),
        8_000,
        is_noticed=lambda: time.monotonic() - front.began_s > noticed_ms / 1_000,
    )
    assert noticed_ms + IDLE_BEFORE_EXIT_MS - 2 * POLL_MS <= took_ms < 4_000
    assert min(front.closed_idle_ms) >= noticed_ms


def test_idle_connections_are_closed_without_a_load_balancer():
    # Guards against clients that keep a connection to the end of an instance whose
    # readiness nobody asks for.
    front = Front(has_connections=True)
    drained_after_ms(front, released(), 1_000, is_noticed=lambda: False)
    assert front.closed_idle_ms
    assert min(front.closed_idle_ms) >= 1_000 * NOTICE_SHARE - 1


def test_instance_that_is_sent_new_connections_stays():
    # Guards against clients whose connections are refused while they could be served:
    # a load balancer goes on sending to an instance of a zone with few others left, and
    # its short requests are over before they are looked at.
    front = Front()

    async def come():
        for _ in range(8):
            await asyncio.sleep(0.4)
            front.open_connection()

    took_ms = drained_after_ms(front, released(), 4_000, come())
    assert took_ms >= 3_000


def test_stop_ends_at_once_when_the_process_has_failed():
    # Guards against callers who wait for the rest of a stop for a part that has failed.
    async def run():
        stopping = Stopping()
        stopping.begin(8_000)
        asyncio.get_running_loop().call_later(0.2, stopping.end_now)
        front = Front(in_flight=1, has_connections=True)
        async with asyncio.timeout(2):
            await wait_until_drained(front, released(), stopping, lambda: True)

    asyncio.run(run())
