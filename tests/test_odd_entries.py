"""Tests that an entry of another writer ends no process, with real processes."""

from __future__ import annotations

import asyncio
import base64
import json

import pytest

from soak.cell import send_request
from standins.processes import HOST
from tests.untrusted import running_instance

# The job that is handed in after the entry was written.
JOB_ID = 7
ENTRY = {
    "service": "pool",
    "addr": "127.0.0.1:9",
    "zone": "north",
    "state": "ready",
    "capacity": {"cpu": 4_000, "memMb": 8_192},
    "labels": ["a", "r9"],
}
NO_HEADER_IDS = ("наряд-7", "w\u2028", "w\r\nX-Odd: 1", "w\n", "日本")
SCOPED_ADDRESSES = ("fe80::1%..:80", f"fe80::1%{'x' * 70}:80")


async def write_row(instance, table, key, value, part=""):
    """Write a row as another writer; the value is bytes, a document or None."""
    plan = json.loads((instance.folder / "plan").read_text())
    if value is not None:
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        value = base64.b64encode(data).decode()
    body = {"rows": [[table, part, key, value]]}
    await send_request(f"{HOST}:{plan['control']}", "POST", "/control", body)


async def until(instance, condition):
    """Wait for an asynchronous condition; a process that ends fails the test."""
    async with asyncio.timeout(20):
        while not await condition():
            assert instance.process.popen.poll() is None, "the process has ended"
            await asyncio.sleep(0.1)


def counted(instance, sample):
    """Return a condition: whether the metrics have a sample."""

    async def is_counted():
        address = instance.address_by_port["metrics"]
        answer = await send_request(address, "GET", "/metrics")
        return answer is not None and sample in answer.body.decode()

    return is_counted


def accepted(instance, number):
    """Return a condition: whether a job is accepted when it is handed in."""

    async def is_accepted():
        answer = await instance.submit(number)
        return answer is not None and answer.status == 200

    return is_accepted


def completed(instance, number):
    """Return a condition: whether a job has run."""

    async def is_completed():
        headers = {"Host": "jobs.example"}
        address = instance.address_by_port["front"]
        path = f"/q/{number:016x}"
        answer = await send_request(address, "GET", path, None, headers)
        document = json.loads(answer.body) if answer and answer.body else {}
        return document.get("state") == "completed"

    return is_completed


async def check_entry(folder, worker_id, changes):
    async with running_instance(folder) as instance:
        await write_row(instance, "servers", worker_id, {**ENTRY, **changes})
        await until(instance, counted(instance, 'unreadable_total{reason="worker"}'))
        await instance.submit(JOB_ID)
        await until(instance, completed(instance, JOB_ID))
        log = (folder / "a.log").read_text()
        assert '"event":"worker_unreadable"' in log
        assert json.dumps(worker_id, ensure_ascii=False)[1:-1] in log


@pytest.mark.parametrize("service", ["pool", "billing"])
@pytest.mark.parametrize("worker_id", NO_HEADER_IDS)
def test_entry_whose_id_no_header_can_hold_ends_no_leader(tmp_path, worker_id, service):
    # Guards against a UnicodeEncodeError or ValueError of the HTTP library on the id,
    # which ended each leader in turn while the entry was there.
    asyncio.run(check_entry(tmp_path, worker_id, {"service": service}))


@pytest.mark.parametrize("address", SCOPED_ADDRESSES)
def test_entry_whose_address_has_a_scope_ends_no_leader(tmp_path, address):
    # Guards against a UnicodeError of the resolver, which ended each leader in turn.
    asyncio.run(check_entry(tmp_path, "odd", {"addr": address}))


MEMBER = {"instance_id": "odd", "zone": "north", "host": "127.0.0.1", "peer_port": 9}
ODD_WORKER = {
    "worker_id": "наряд-7",
    "pool": "pool",
    "address": "fe80::1%..:80",
    "zone": "north",
    "capacity": {"cpu_millis": 1, "memory_mib": 1, "accelerators": 0},
}
NESTED = b"[" * 30_000 + b"]" * 30_000
# Rows of the tables that the instances write themselves: table, part, key and value.
ODD_ROWS = [
    ("members", "", "odd", {**MEMBER, "host": "fe80::1%.."}),
    ("members", "", "strong", {**MEMBER, "instance_id": "strong", "strength": 10**400}),
    ("members", "", "other", {**MEMBER, "instance_id": "a"}),
    ("leadership", "p0", "renewal", b"9" * 5_000),
    ("roster", "p0", "003", {"workers": [ODD_WORKER]}),
    ("roster", "p0", "004", {"workers": [{**ODD_WORKER, "address": "127.0.0.1:9"}]}),
    ("jobs", "p0", "odd", NESTED),
    ("progress", "p0", "odd", {"step_by_name": {"0.0": {"done": 10**400}}}),
]


async def check_own_rows(folder, rows):
    async with running_instance(folder) as instance:
        for table, part, key, value in rows:
            await write_row(instance, table, key, value, part)
        # The next process reads all rows when it begins to lead.
        instance.restart()
        await until(instance, counted(instance, "marjoramgrade_commit_ms"))
        await until(instance, accepted(instance, JOB_ID))
        await until(instance, completed(instance, JOB_ID))
        # Longer than the delay of the check for a stronger instance.
        await asyncio.sleep(2.0)
        await until(instance, accepted(instance, JOB_ID + 1))
        await until(instance, completed(instance, JOB_ID + 1))


def test_odd_rows_of_its_own_tables_end_no_process(tmp_path):
    # Guards against a UnicodeError of the resolver on the address of a member, an
    # OverflowError on its strength, a ValueError on the digits of a renewal, and a
    # worker of the roster that cannot be called, which ended each process in turn.
    asyncio.run(check_own_rows(tmp_path, ODD_ROWS))


@pytest.mark.parametrize("epoch", [10**30, 10**11, -1])
def test_odd_number_of_the_leadership_ends_no_process(tmp_path, epoch):
    # Guards against a heartbeat that cannot be encoded, which ended each leader.
    row = {"epoch": epoch, "leader_id": "odd"}
    asyncio.run(check_own_rows(tmp_path, [("leadership", "p0", "epoch", row)]))
