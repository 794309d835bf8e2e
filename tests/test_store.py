"""Reads and writes of the store against a table in memory."""

import asyncio

from marjoramgrade.model import Config, Team
from marjoramgrade.store import Store
from marjoramgrade.table import MemoryTable, RowsPage

FIRST = Config(1, {"acme": Team("acme")})
SECOND = Config(2, {"acme": Team("acme", share=2)})


class RecordingTable(MemoryTable):
    """Counts the rows of each answer; can answer from an older state."""

    def __init__(self) -> None:
        super().__init__()
        self.rows_read: list[int] = []
        self.older: MemoryTable | None = None

    async def changes(self, prefix: str, after: int = 0) -> RowsPage:
        source = self if self.older is None else self.older
        page = source.scan(prefix, after)
        self.rows_read.append(len(page.rows))
        return page


def test_an_unchanged_configuration_is_not_read_again() -> None:
    """Guards against 22 KB that every instance reads every second."""

    async def run() -> None:
        table = RecordingTable()
        reader, writer = Store(table), Store(table)
        assert (await reader.read_config()).config == Config()
        version = await writer.write_config(FIRST, 0)
        assert (await reader.read_config()).config == FIRST
        assert (await reader.read_config()).config == FIRST
        await writer.write_config(SECOND, version)
        assert (await reader.read_config()).config == SECOND
        assert table.rows_read == [0, 1, 0, 1]

    asyncio.run(run())


def test_an_answer_from_an_older_state_shows_the_older_configuration() -> None:
    """Guards against a lagging answer that confirms what it cannot know."""

    async def run() -> None:
        table = RecordingTable()
        store = Store(table)
        version = await store.write_config(FIRST, 0)
        older = MemoryTable()
        await Store(older).write_config(FIRST, 0)
        await store.write_config(SECOND, version)
        assert (await store.read_config()).config == SECOND
        table.older = older
        assert (await store.read_config()).config == FIRST
        table.older = None
        assert (await store.read_config()).config == SECOND

    asyncio.run(run())
