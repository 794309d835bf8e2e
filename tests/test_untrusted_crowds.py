"""Crowds of clients that do not keep to the limits, beside ordinary callers.

As in `test_untrusted_clients`, nothing depends on the machine's speed: the process
lives, its memory stays bounded, no ordinary caller loses its connection without an
answer, and an ordinary request is answered afterwards.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal

import pytest

from marjoramgrade.adapters.peercodec import Hello
from marjoramgrade.messages.steps import LeaderBeat, SubmitStepJob
from marjoramgrade.stepconfig import Resources
from marjoramgrade.stepjobs import Step, StepJob
from tests.untrusted import (
    CHUNKED_HEAD,
    CLIENTS,
    CLOSED,
    FRAME_BYTES,
    MAX_BODY_BYTES,
    MEMORY_MB,
    ORDINARY_JOB,
    alone,  # noqa: F401 (a fixture for all tests)
    call_during,
    complete_body,
    connect_all,
    frame_bytes,
    half_a_body,
    insist,
    ordinary_request,
    read_status,
    reconnect,
    run_with,
    running_cell,
    send,
    send_all,
    throttle,
    whole_but_one_byte,
)

RECONNECTING_CLIENTS = 100
CROWD_S = 6.0
CALLERS = 20
PEER_CLIENTS = 40
PEER_CALLS = 50
PAYLOAD_BYTES = 60_000
# A valid job whose text consists of references to earlier steps.
WIDE_JOB = {
    "spec": "100:50",
    "steps": [
        {"count": 1, "cpu": 100, "estMs": 50, "after": list(range(index)) * 30}
        for index in range(64)
    ],
}
SMALL_CHUNKS = CHUNKED_HEAD.format(16).encode() + b"1\r\nx\r\n" * (MAX_BODY_BYTES - 1)


@pytest.mark.parametrize("resets", [False, True])
def test_clients_that_reconnect_do_not_fill_the_memory(tmp_path, resets):
    # Guards against bytes that stay in memory after their connection has ended.
    async def play(instance, stack):
        address = instance.address_by_port["front"]
        await reconnect(
            address, half_a_body, RECONNECTING_CLIENTS, CROWD_S, resets=resets
        )
        await instance.assert_serves()

    run_with(tmp_path, play)


@pytest.mark.parametrize("resets", [False, True])
@pytest.mark.parametrize("count", [RECONNECTING_CLIENTS, 2 * CLIENTS])
def test_callers_keep_their_connections_beside_clients_that_reconnect(
    tmp_path, count, resets
):
    # Guards against ordinary callers that lose their connections so that clients which
    # have left, or send what they do not finish, keep theirs.
    async def play(instance, stack):
        crowd = reconnect(
            instance.address_by_port["front"],
            half_a_body,
            count,
            CROWD_S,
            resets=resets,
        )
        outcomes = await call_during(instance, crowd)
        assert outcomes.count(CLOSED) == 0
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_callers_whose_requests_arrive_while_the_instance_is_paused(tmp_path):
    # Guards against callers that are closed, before their requests are read, for the
    # time that the process itself did not run.
    async def play(instance, stack):
        address = instance.address_by_port["front"]
        callers = await connect_all(stack, address, CALLERS)
        await connect_all(stack, address, CLIENTS // 2)
        await asyncio.sleep(0.5)
        instance.process.send(signal.SIGSTOP)
        crowd = await connect_all(stack, address, RECONNECTING_CLIENTS)
        await send_all(crowd, half_a_body)
        await send_all(callers, ordinary_request)
        await asyncio.sleep(1.5)
        instance.process.send(signal.SIGCONT)
        outcomes = await asyncio.gather(*map(read_status, callers))
        assert outcomes.count(CLOSED) == 0
        await instance.assert_serves()

    run_with(tmp_path, play)


@pytest.mark.parametrize("document", [ORDINARY_JOB, WIDE_JOB])
def test_complete_bodies_that_wait_for_the_store_are_bounded(tmp_path, document):
    # Guards against complete bodies that are all held until the store answers, and
    # against a refusal that promises more than is known.
    async def play(instance, stack):
        address = instance.address_by_port["front"]
        instance.fleet.send(signal.SIGSTOP)
        outcomes = await insist(
            address, lambda number: complete_body(number, document), CLIENTS, CROWD_S
        )
        instance.fleet.send(signal.SIGCONT)
        # 429 and 503 promise that no attempt was accepted, which nobody knows here.
        assert set(outcomes) <= {504, CLOSED}
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_accepted_jobs_with_much_text_are_bounded(tmp_path):
    # Guards against a leader that holds the text of every job that it has accepted.
    text = "x" * PAYLOAD_BYTES
    step = {"count": 4, "cpu": 4_000, "estMs": 60_000, "image": text}
    step |= {"constraints": text, "affinity": text}
    job = {"spec": text, "steps": [step]}

    async def play(instance, stack):
        address = instance.address_by_port["front"]
        outcomes = await insist(
            address, lambda number: complete_body(number, job), CLIENTS, 2 * CROWD_S
        )
        assert 200 in outcomes
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_complete_bodies_of_clients_that_left_are_bounded(tmp_path):
    # Guards against requests that are held for clients which no longer wait.
    async def play(instance, stack):
        address = instance.address_by_port["front"]
        instance.fleet.send(signal.SIGSTOP)
        await reconnect(address, complete_body, RECONNECTING_CLIENTS, CROWD_S)
        instance.fleet.send(signal.SIGCONT)
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_frames_of_calls_that_wait_for_the_store_are_bounded(tmp_path):
    # Guards against frames that no bound counts once they have been decoded.
    job = StepJob("", "q", "", "x" * PAYLOAD_BYTES, (Step(1, Resources(100), 50),))

    async def play(instance, stack):
        clients = await connect_all(
            stack, instance.address_by_port["peer"], PEER_CLIENTS
        )
        frame = frame_bytes(SubmitStepJob(job), 1)
        instance.fleet.send(signal.SIGSTOP)
        await send_all(
            clients,
            lambda number: frame_bytes(Hello(f"z{number}")) + frame * PEER_CALLS,
        )
        instance.fleet.send(signal.SIGCONT)
        await instance.assert_serves()

    run_with(tmp_path, play)


@pytest.mark.parametrize("moment", ["start", "reload", "shutdown"])
def test_crowd_while_the_instance_changes_its_state(tmp_path, moment):
    # Guards against an instance that does not come up, or does not end by itself, under
    # connections that are never finished.
    async def play(instance, stack):
        address = instance.address_by_port["front"]
        if moment == "start":
            instance.restart()
        crowd = asyncio.ensure_future(
            reconnect(address, half_a_body, RECONNECTING_CLIENTS, CROWD_S)
        )
        await asyncio.sleep(CROWD_S / 4)
        if moment == "reload":
            instance.process.send(signal.SIGHUP)
        if moment == "shutdown":
            instance.process.send(signal.SIGTERM)
            assert await asyncio.to_thread(instance.process.popen.wait, 30) == 0
            instance.restart()
        await crowd
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_crowd_on_an_instance_with_two_tenths_of_a_core(tmp_path):
    # Guards against bounds that hold only if the instance keeps up with its clients.
    async def play(instance, stack):
        address = instance.address_by_port["front"]
        clients = await connect_all(stack, address, CLIENTS // 3)
        await asyncio.gather(
            throttle(instance.process, 0.2, CROWD_S),
            send_all(clients, whole_but_one_byte),
            reconnect(address, half_a_body, RECONNECTING_CLIENTS, CROWD_S),
        )
        await instance.assert_serves()

    run_with(tmp_path, play)


def test_bytes_that_are_not_read_yet_are_bounded(tmp_path):
    # Guards against bytes that the kernel holds for connections which wait for a turn:
    # they count against the memory of an instance.
    frame = FRAME_BYTES.to_bytes(4, "big") + b"x" * FRAME_BYTES
    data_by_port = {"front": SMALL_CHUNKS, "peer": frame_bytes(Hello("z")) + frame * 2}

    async def play(instance, stack):
        sending = []
        for port, data in data_by_port.items():
            address = instance.address_by_port[port]
            clients = await connect_all(stack, address, CLIENTS)
            sending += [asyncio.ensure_future(send(client, data)) for client in clients]
        unread_mb = 0.0
        for _ in range(int(CROWD_S / 0.1)):
            now_mb = sum(instance.unread_mb(port) for port in data_by_port)
            unread_mb = max(unread_mb, now_mb)
            await asyncio.sleep(0.1)
        await asyncio.gather(*sending)
        print(f"{unread_mb:.1f} MB unread, peak {instance.peak_mb:.1f} MB")
        assert instance.peak_mb + unread_mb < MEMORY_MB
        await instance.assert_serves()

    run_with(tmp_path, play)


async def run_crowds_on_all(instances, make_crowd):
    """Let a crowd come to each instance, then check that each one serves."""
    await asyncio.gather(*(make_crowd(instance) for instance in instances.values()))
    for number, instance in enumerate(instances.values()):
        await instance.assert_serves(number + 2)


def test_chunks_of_one_byte_beside_forwarded_submissions(tmp_path):
    # Guards against frames of other instances that wait behind the bodies of clients.
    async def crowd(instance):
        async with contextlib.AsyncExitStack() as stack:
            address = instance.address_by_port["front"]
            clients = await connect_all(stack, address, CLIENTS // 3)
            sending = asyncio.ensure_future(send_all(clients, lambda _: SMALL_CHUNKS))
            jobs = await connect_all(stack, address, 10)
            await send_all(jobs, complete_body)
            await asyncio.gather(*map(read_status, jobs))
            await sending

    async def run():
        async with running_cell(tmp_path) as instances:
            await run_crowds_on_all(instances, crowd)

    asyncio.run(run())


def test_crowd_on_the_port_of_instances_while_the_leader_sends_heartbeats(tmp_path):
    # Guards against instances that lose their leader, or its followers their memory, to
    # strangers which introduce themselves as instances.
    async def crowd(instance):
        async with contextlib.AsyncExitStack() as stack:
            address = instance.address_by_port["peer"]
            clients = await connect_all(stack, address, CLIENTS)
            hello, beat = frame_bytes(Hello("z")), frame_bytes(LeaderBeat(0, "z"), 1)
            unfinished = FRAME_BYTES.to_bytes(4, "big") + b"x" * (FRAME_BYTES - 1)
            parts = [hello + unfinished, hello + beat * 1_000, hello, b""]
            await send_all(clients, lambda number: parts[number % len(parts)])

            def leave_within_a_frame(_):
                return hello + unfinished[: MAX_BODY_BYTES // 2]

            await reconnect(address, leave_within_a_frame, PEER_CLIENTS, CROWD_S)

    async def run():
        async with running_cell(tmp_path) as instances:
            await run_crowds_on_all(instances, crowd)

    asyncio.run(run())


def test_crowd_while_another_instance_takes_over(tmp_path):
    # Guards against an instance that can't take over while clients occupy it.
    async def run():
        async with running_cell(tmp_path) as instances:
            leader = await find_leader(instances)

            async def crowd(instance):
                address = instance.address_by_port["front"]
                await reconnect(address, half_a_body, RECONNECTING_CLIENTS, CROWD_S)

            others = {name: i for name, i in instances.items() if name != leader}
            instances[leader].process.end()
            await run_crowds_on_all(others, crowd)

    asyncio.run(run())


async def find_leader(instances):
    async with asyncio.timeout(10):
        while True:
            for name, instance in instances.items():
                if '"lead_taken"' in instance.process.log.read_text():
                    return name
            await asyncio.sleep(0.1)
