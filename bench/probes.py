"""Reads what a process costs: processor time, memory and bytes per connection.

All figures come from the kernel, so that the measured process does no counting
itself: `/proc/{pid}` for time and memory, a `sock_diag` dump for the bytes of
each TCP connection that stays open.
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
# Places of two counters in the kernel's tcp_info.
_BYTES_ACKED_AT = 120
_BYTES_RECEIVED_AT = 128


@attrs.frozen
class Connection:
    """An open TCP connection and the bytes that it carried."""

    inode: int
    local_port: int
    remote_port: int
    sent: int
    received: int


@attrs.frozen
class Memory:
    """Memory of a process in KiB.

    Attributes:
        whole: Resident pages, shared ones too.
        private: Pages that the process has written. Pages of a library that no
            other process happens to map are left out: the kernel calls them
            private too, which changed readings by 7 MiB from one to the next.
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
    """Return the memory of a process as the kernel adds it up."""
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
    """Return the bytes, both ways, that flowed between two readings.

    A connection that opened and closed between the readings is not counted.
    """
    total: Counter[str] = Counter()
    for inode, now in after.items():
        then = before.get(inode)
        known = then.sent + then.received if then is not None else 0
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
    at = _DIAG_BODY_SIZE
    while at + _ATTRIBUTE.size <= len(body):
        length, kind = _ATTRIBUTE.unpack_from(body, at)
        if kind == _INET_DIAG_INFO:
            info = body[at + _ATTRIBUTE.size : at + length]
            (sent,) = struct.unpack_from("=Q", info, _BYTES_ACKED_AT)
            (received,) = struct.unpack_from("=Q", info, _BYTES_RECEIVED_AT)
        at += (length + 3) & ~3
    return Connection(inode, local_port, remote_port, sent, received)
