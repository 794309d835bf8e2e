"""Events of watches."""

from __future__ import annotations

import attrs

from marjoramgrade.model import Job


@attrs.frozen
class WatchEvent:
    """One change that a watch reports.

    Attributes:
        version: Commit number of the table; zero for a reset before any change.
        kind: Kind of the event: `job`, `config` or `reset`.
        name: Name of the changed resource.
        job: The job, for the kind `job`.
        config_version: Version of the configuration, for the kind `config`.
    """

    version: int
    kind: str
    name: str = ""
    job: Job | None = None
    config_version: int = 0
