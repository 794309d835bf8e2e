"""Reads the processor time, memory and bytes per connection of a process.

All values come from the kernel, so that the measured process needs no counters:
`/proc/{pid}` for time and memory, a `sock_diag` dump for the bytes of each TCP
connection that stays open.
"""

from __future__ import annotations

import os
import pathlib
import socket
import struct
from collections import Counter
from collections.abc import Callable, Iterator

import attrs

_NETLINK_SOCK_DIAG = 4
_SOCK_DIAG_BY_FAMILY = 20
_NLMSG_DONE = 3
_REQUEST_AND_DUMP = 0x301
_INET_DIAG_INFO = 2
_ESTABLISHED = 1 << 1
_HEADER = struct.Struct("=IHHII")
_ATTRIBUTE = struct.Struct("=HH")
_DIAG_BODY_SIZE = 72
# Offsets of two counters in the kernel's tcp_info.
_BYTES_ACKED_OFFSET = 120
_BYTES_RECEIVED_OFFSET = 128


@attrs.frozen
class Connection:
    """An open TCP connection and the number of bytes sent and received."""

    inode: int
    local_port: int
    remote_port: int
    sent: int
    received: int


@attrs.frozen
class Memory:
    """Memory of a process in KiB.

    Attributes:
        whole: Resident pages, including shared pages.
        private: Pages that the process has written. Unmodified library pages
            that no other process maps are excluded: the kernel counts them as
            private too, which made successive readings differ by 7 MiB.
    """

    whole: int
    private: int


def processor_ms(pid: int) -> float:
    """Return the processor time of all threads of a process in milliseconds."""
    total_ns = 0
    for path in pathlib.Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total_ns += int(path.read_text().split()[0])
    return total_ns / 1e6


def memory(pid: int) -> Memory:
    """Return the memory of a process from the kernel's totals."""
    kib: Counter[str] = Counter()
    for line in pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]:
        name, value = line.split(":")
        kib[name] += int(value.split()[0])
    return Memory(kib["Rss"], kib["Private_Dirty"])


def connections(pid: int) -> dict[int, Connection]:
    """Return the open TCP connections of a process by inode."""
    inodes = set(_iter_socket_inodes(pid))
    return {
        found.inode: found for found in _iter_connections() if found.inode in inodes
    }


def bytes_by_kind(
    before: dict[int, Connection],
    after: dict[int, Connection],
    kind_of: Callable[[Connection], str],
) -> Counter[str]:
    """Return the bytes sent and received between two readings, by kind.

    A connection that was opened and closed between the readings is not counted.
    """
    total: Counter[str] = Counter()
    for inode, now in after.items():
        previous = before.get(inode)
        known = previous.sent + previous.received if previous is not None else 0
        total[kind_of(now)] += now.sent + now.received - known
    return total


def _iter_socket_inodes(pid: int) -> Iterator[int]:
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            target = os.readlink(path)
        except FileNotFoundError:
            continue
        if target.startswith("socket:["):
            yield int(target[8:-1])


def _iter_connections() -> Iterator[Connection]:
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _NETLINK_SOCK_DIAG
    ) as netlink:
        body = struct.pack(
            "=BBBBI",
            socket.AF_INET,
            socket.IPPROTO_TCP,
            1 << (_INET_DIAG_INFO - 1),
            0,
            _ESTABLISHED,
        ) + bytes(48)
        netlink.send(
            _HEADER.pack(
                _HEADER.size + len(body), _SOCK_DIAG_BY_FAMILY, _REQUEST_AND_DUMP, 1, 0
            )
            + body
        )
        while True:
            data = netlink.recv(1 << 18)
            while data:
                length, kind, _, _, _ = _HEADER.unpack_from(data)
                if kind == _NLMSG_DONE:
                    return
                if kind == _SOCK_DIAG_BY_FAMILY:
                    yield _parse_connection(data[_HEADER.size : length])
                data = data[(length + 3) & ~3 :]


def _parse_connection(body: bytes) -> Connection:
    local_port, remote_port = struct.unpack_from(">HH", body, 4)
    (inode,) = struct.unpack_from("=I", body, 68)
    sent = received = 0
    offset = _DIAG_BODY_SIZE
    while offset + _ATTRIBUTE.size <= len(body):
        length, kind = _ATTRIBUTE.unpack_from(body, offset)
        if kind == _INET_DIAG_INFO:
            info = body[offset + _ATTRIBUTE.size : offset + length]
            (sent,) = struct.unpack_from("=Q", info, _BYTES_ACKED_OFFSET)
            (received,) = struct.unpack_from("=Q", info, _BYTES_RECEIVED_OFFSET)
        offset += (length + 3) & ~3
    return Connection(inode, local_port, remote_port, sent, received)
