"""Prints the memory of this process after the import of each library.

Run `python -m bench.libraries`. The difference between the last line and an idle
entry instance is the memory of the state of the instance.
"""

from __future__ import annotations

import importlib
import os

from bench.probes import memory

MODULES = (
    "attrs",
    "cattrs",
    "asyncio",
    "tornado.simple_httpclient",
    "tornado.httpserver",
    "tornado.websocket",
    "capnp",
    "structlog",
    "statsd",
    "typer",
    "marjoramgrade.entry",
    "marjoramgrade.cli",
)


def main() -> None:
    """Import each module and print the memory after each import."""
    for name in ("", *MODULES):
        if name:
            importlib.import_module(name)
        usage = memory(os.getpid())
        print(
            f"{name or 'python':<28} whole {usage.whole / 1024:6.1f} MiB"
            f"  private {usage.private / 1024:6.1f} MiB"
        )


if __name__ == "__main__":
    main()
