"""How an instance stops while it and other instances call each other."""

from __future__ import annotations

import asyncio

import attrs

from marjoramgrade import logs
from marjoramgrade.actor import Actor, ActorGroup, Message, handles
from marjoramgrade.stopping import Stopping


@attrs.frozen
class Block(Message[None]):
    pass


class Blocking(Actor):
    """Never ends with a message."""

    def __init__(self, gate):
        super().__init__()
        self._gate = gate

    @handles(Block)
    async def _block(self, message):
        await self._gate.wait()


class Stubborn(Blocking):
    """Has a background task that goes on when it is cancelled."""

    async def on_start(self):
        self.spawn(self._go_on())

    async def _go_on(self):
        while not self._gate.is_set():
            try:
                await self._gate.wait()
            except asyncio.CancelledError:
                continue


class Owner(Actor):
    has_released = False

    async def on_stop(self):
        self.has_released = True


def test_actor_that_does_not_stop_leaves_time_to_the_others(monkeypatch):
    # Guards against a process that is killed before it has given up what it owns, as
    # the handler or a background task of one actor does not end.
    events = []
    monkeypatch.setattr(
        logs, "log_event", lambda event, **fields: events.append((event, fields))
    )

    async def run():
        loop = asyncio.get_running_loop()
        gate, stopping, owner = asyncio.Event(), Stopping(), Owner()
        group = ActorGroup(lambda: stopping.left_ms)
        blocked = Blocking(gate)
        for actor in (owner, Stubborn(gate), blocked):
            await group.add(actor)
        blocked.tell(Block())
        await asyncio.sleep(0.01)
        stopping.begin(500)
        began_s = loop.time()
        # So that a fault ends the test.
        loop.call_later(2, gate.set)
        await group.aclose()
        assert loop.time() - began_s < 0.5
        assert owner.has_released
        gate.set()

    asyncio.run(run())
    assert events == [
        ("actor_not_stopped", {"actor": "Blocking", "work": "Block"}),
        ("actor_not_stopped", {"actor": "Stubborn", "work": "_go_on"}),
    ]
