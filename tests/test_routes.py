"""Tests when summaries are sent to the other entry instances."""

import asyncio

import pytest

from marjoramgrade.actor import Actor, handles
from marjoramgrade.clock import ManualClock
from marjoramgrade.controllers import routes
from marjoramgrade.controllers.routes import REPEAT_INTERVAL_MS, RoutesController
from marjoramgrade.messages.configuration import ConfigConfirmed
from marjoramgrade.messages.peers import Member, MembersChanged, TellPeers
from marjoramgrade.metrics import MemoryMetrics
from marjoramgrade.model import Config

ROUNDS = 20


class Peers(Actor):
    """Records the messages sent to the peers."""

    def __init__(self) -> None:
        super().__init__()
        self.told: asyncio.Queue[object] = asyncio.Queue()

    @handles(TellPeers)
    async def _tell(self, message: TellPeers) -> None:
        await self.told.put(message.message)


def test_an_unchanged_summary_is_repeated_only_before_it_lapses(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against unchanged summaries that saturate the links to 21 peers."""
    monkeypatch.setattr(routes, "SEND_INTERVAL_MS", 1)

    async def run() -> None:
        clock, peers = ManualClock(), Peers()
        controller = RoutesController("e-1", "leeds", clock, MemoryMetrics())
        controller.connect(peers, {}, {})
        await peers.start()
        await controller.start()
        try:
            await asyncio.wait_for(peers.told.get(), 5)
            for _ in range(ROUNDS):
                await asyncio.sleep(0.002)
            assert peers.told.empty()
            clock.advance(REPEAT_INTERVAL_MS)
            await asyncio.wait_for(peers.told.get(), 5)
            joining_member = Member("e-2", "leeds", "127.0.0.1", 1)
            controller.tell(MembersChanged((joining_member,)))
            await asyncio.wait_for(peers.told.get(), 5)
            controller.tell(ConfigConfirmed(Config(3), 0, 1))
            await asyncio.wait_for(peers.told.get(), 5)
        finally:
            await controller.stop()
            await peers.stop()

    asyncio.run(run())
    assert 2 * REPEAT_INTERVAL_MS <= routes.SUMMARY_LIFETIME_MS
