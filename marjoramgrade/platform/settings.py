"""Settings of an entry instance on the users' platform.

The platform fills in `deploy/entry.json`, which has the names used here.
"""

from __future__ import annotations

import pathlib

import attrs
import msgspec

from marjoramgrade.errors import SettingsError, SettingsProblem

# What a leader sends and receives with 176 workers and 600 starts a second, with
# room for bursts.
LEADER_LINK_MBPS = 50.0


@attrs.frozen
class InstanceSettings:
    """What the process learns at its start.

    Attributes:
        instance_id: Id of this instance.
        zone: Its availability zone.
        host: IP number that it listens on.
        front: Address for clients.
        ready: Address on which the balancer asks whether it is ready.
        peer_port: TCP port for other instances.
        metrics_port: TCP port on which metrics are served.
        store: Address of the store.
        advice: Address of the placement advisor, or empty if there is none.
        cpu_share: Share of each core that the instance may use.
        cores: How fast its processor is, in ordinary cores.
        link_mbps: Bandwidth of its network link.
        longest_lease_ms: Longest lease that a worker grants.
        status_s: How long callers may ask for a job that has ended, in seconds.
        shutdown_s: Time between SIGTERM and SIGKILL, in seconds.
    """

    instance_id: str
    zone: str
    host: str
    front: str
    ready: str
    peer_port: int
    metrics_port: int
    store: str
    cpu_share: float
    cores: float
    link_mbps: float
    longest_lease_ms: int
    status_s: int
    shutdown_s: float
    advice: str = ""

    @property
    def strength(self) -> int:
        """How much a leader on this instance can do, in thousandths of a core.

        A slow link limits a leader as a slow processor does.
        """
        link_share = min(self.link_mbps / LEADER_LINK_MBPS, 1.0)
        return int(1_000 * self.cpu_share * self.cores * link_share)


def read_settings(path: pathlib.Path) -> InstanceSettings:
    """Read the settings file.

    Raises:
        SettingsError: If it cannot be read or a field is missing or mistyped.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=InstanceSettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([SettingsProblem(str(path), str(error))]) from None
    problems = [
        SettingsProblem(name, "must be an IP number and a port")
        for name in ("front", "ready", "store")
        if not getattr(settings, name).rpartition(":")[2].isdigit()
    ]
    if problems:
        raise SettingsError(problems)
    return settings
