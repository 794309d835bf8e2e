"""Prints the processor time of a heartbeat to all peers, before and after.

Run `python -m tests.heartbeat_cost`. The peers are connections to one other process,
which reads and discards. "Before" serializes and starts a task for each peer.
"""

from __future__ import annotations

import asyncio
import contextlib
import multiprocessing
import statistics
import time

from tornado.iostream import StreamBufferFullError, StreamClosedError
from tornado.testing import bind_unused_port

import marjoramgrade.adapters.stepmessages  # noqa: F401 (registers encodings)
from marjoramgrade.actor import ActorGroup, handles
from marjoramgrade.adapters.peercodec import PeerFrame, serialize_frame
from marjoramgrade.adapters.peerlink import PeerLink, serialize_notice
from marjoramgrade.controllers.peers import PeersController
from marjoramgrade.errors import MarjoramgradeError
from marjoramgrade.messages.peers import Member, TellOverLink, TellPeers
from marjoramgrade.messages.rows import RowId, StoredRow
from marjoramgrade.messages.steps import LeaderBeat
from marjoramgrade.steprows import MEMBERS_TABLE, MemberRow, serialize_row
from tests.rowstore import MemoryRowStore

PEERS = (7, 38, 97, 300)
ROUNDS = 40
BATCHES = 5


class TaskLink(PeerLink):
    """The link as it was: a task and a serialization for each message."""

    @handles(TellOverLink)
    async def _tell(self, message: TellOverLink) -> None:
        self.spawn(self._send_in_task(message))

    async def _send_in_task(self, message: TellOverLink) -> None:
        try:
            stream = await self._get_stream()
            data = serialize_frame(PeerFrame(0, message.message))
            future = stream.write(len(data).to_bytes(4, "big") + data)
            future.add_done_callback(lambda done: done.exception())
        except (MarjoramgradeError, StreamClosedError, StreamBufferFullError):
            return


def discard(listener):
    """Accept connections, and read and discard what arrives."""

    async def read(reader, writer):
        with contextlib.closing(writer):
            while await reader.read(65_536):
                pass

    async def run():
        server = await asyncio.start_server(read, sock=listener)
        await server.serve_forever()

    asyncio.run(run())


async def measure_round_ms(count, port, link_type, serialize):
    """Return the processor time of this process for a round, as the median."""
    links = []

    def make_link(member):
        links.append(link_type("own", "127.0.0.1", member))
        return links[-1]

    store = MemoryRowStore()
    for number in range(count):
        member = MemberRow(f"p{number}", "north", "127.0.0.1", port, 1)
        row = RowId(MEMBERS_TABLE, "", member.instance_id)
        store.rows[row] = StoredRow(row, serialize_row(member), 1)
    own = Member("own", "north", "127.0.0.1", 1)
    peers = PeersController(own, store, make_link, serialize)
    async with ActorGroup() as group:
        for actor in (store, peers):
            await group.add(actor)
        async with asyncio.timeout(20):
            while len(links) < count:
                await asyncio.sleep(0.05)
            # Connections beyond the backlog of the reader may fail at first.
            while not all(link._stream for link in links):
                peers.tell(TellPeers(LeaderBeat(1, "own")))
                await asyncio.sleep(0.2)
        await asyncio.sleep(0.2)
        batches_ms = []
        for _ in range(BATCHES):
            began_s = time.process_time()
            for _ in range(ROUNDS):
                peers.tell(TellPeers(LeaderBeat(1, "own")))
                # Other work of the loop goes on between the rounds.
                for _ in range(8):
                    await asyncio.sleep(0)
            batches_ms.append((time.process_time() - began_s) * 1000 / ROUNDS)
        return statistics.median(batches_ms)


def main():
    """Print one line for each number of peers."""
    listener, port = bind_unused_port()
    reader = multiprocessing.Process(target=discard, args=(listener,), daemon=True)
    reader.start()
    try:
        for count in PEERS:
            before = asyncio.run(measure_round_ms(count, port, TaskLink, None))
            after = asyncio.run(
                measure_round_ms(count, port, PeerLink, serialize_notice)
            )
            print(
                f"{count} peers: {before:.2f} ms before, {after:.2f} ms after, "
                f"ratio {before / after:.2f}"
            )
    finally:
        reader.terminate()
        reader.join()


if __name__ == "__main__":
    main()
