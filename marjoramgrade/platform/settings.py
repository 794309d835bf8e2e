"""Settings of an entry instance on the users' platform.

The platform renders the template `deploy/entry.json`, whose field names are those
used here.
"""

from __future__ import annotations

import pathlib

import attrs
import msgspec

from marjoramgrade.addresses import check_address
from marjoramgrade.decisions.admission.gate import ADMISSION_POLICIES
from marjoramgrade.decisions.intake.bounds import IntakeBounds
from marjoramgrade.decisions.listings.schedule import LISTING_SCHEDULES
from marjoramgrade.decisions.preempting.price import PREEMPTION_RULES
from marjoramgrade.decisions.stepplacement import SELECTABLE_PLACEMENTS
from marjoramgrade.errors import InvalidInputError, SettingsError, SettingsProblem

# Bandwidth that a leader uses with 176 workers and 600 starts per second, including
# headroom for bursts.
LEADER_LINK_MBPS = 50.0
# The users' deployments have 1.5 and 3. A larger factor than this is an error in the
# unit.
MAX_FAR_FACTOR = 100.0


@attrs.frozen
class InstanceSettings:
    """Settings that an entry instance reads at its start.

    Attributes:
        instance_id: Id of this instance.
        zone: Its availability zone.
        host: IP address that it listens on.
        front: Address that serves clients.
        ready: Address of the readiness endpoint, which the load balancer polls.
        peer_port: TCP port for connections of other instances.
        metrics_port: TCP port on which metrics are served.
        store: Address of the store.
        row_bytes: Largest row that the store accepts.
        advice: Address of the placement advisor, or empty if there is none.
        cpu_share: Share of each core that the instance may use.
        cores: Speed of its processor, in ordinary cores.
        link_mbps: Bandwidth of its network link, in Mbit/s.
        longest_lease_ms: Longest lease that a worker grants, in milliseconds.
        status_s: How long clients can query the state of an ended job, in seconds.
        shutdown_s: Time between SIGTERM and SIGKILL, in seconds.
        config_apply_ms: Time within which a new configuration must be in force, in
            milliseconds.
        listing: Name of the schedule of worker listings.
        placement: Name of the placement of usual work.
        preemption: Name of the rule by which runs are stopped for others.
        far_factor: How many times as long a task takes off the rack of its data, or 0
            if unknown.
        memory_mb: Memory that the instance may use, in MB; 0 if it is not known.
        max_fds: Number of descriptors that it may open; 0 if it is not known.
        admission: Name of the policy that admits new jobs.
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
    row_bytes: int = 65_536
    config_apply_ms: int = 2_000
    advice: str = ""
    listing: str = "periodic"
    placement: str = "batch"
    preemption: str = "priority"
    far_factor: float = 0.0
    memory_mb: int = 0
    max_fds: int = 0
    admission: str = "open_jobs"

    @property
    def strength(self) -> int:
        """Capacity of a leader on this instance, in thousandths of a core.

        A link slower than `LEADER_LINK_MBPS` reduces it proportionally, as a slow
        processor does.
        """
        link_share = min(self.link_mbps / LEADER_LINK_MBPS, 1.0)
        return int(1_000 * self.cpu_share * self.cores * link_share)


def read_settings(path: pathlib.Path) -> InstanceSettings:
    """Read the settings file.

    Raises:
        SettingsError: If the file cannot be read, a field is missing or has the wrong
            type, or an address has no port.
    """
    try:
        settings = msgspec.json.decode(path.read_bytes(), type=InstanceSettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError([SettingsProblem(str(path), str(error))]) from None
    problems = [
        SettingsProblem(name, "must be an IP address and a port")
        for name in ("front", "ready", "store", "advice")
        if not _is_address(getattr(settings, name))
        and (name != "advice" or settings.advice)
    ]
    if settings.listing not in LISTING_SCHEDULES.iter_names():
        problems.append(
            SettingsProblem("listing", f"no schedule is named {settings.listing!r}")
        )
    if settings.placement not in SELECTABLE_PLACEMENTS:
        problems.append(
            SettingsProblem(
                "placement", f"no placement of usual work is {settings.placement!r}"
            )
        )
    if settings.preemption not in PREEMPTION_RULES.iter_names():
        problems.append(
            SettingsProblem("preemption", f"no rule is named {settings.preemption!r}")
        )
    if settings.far_factor and not 1 <= settings.far_factor <= MAX_FAR_FACTOR:
        problems.append(
            SettingsProblem("far_factor", f"must be 0 or 1 to {MAX_FAR_FACTOR:g}")
        )
    try:
        IntakeBounds.from_config(settings.memory_mb, settings.max_fds)
    except InvalidInputError as error:
        problems.append(SettingsProblem("memory_mb, max_fds", error.message))
    if settings.admission not in ADMISSION_POLICIES.iter_names():
        problems.append(
            SettingsProblem("admission", f"no policy is named {settings.admission!r}")
        )
    if problems:
        raise SettingsError(problems)
    return settings


def _is_address(text: str) -> bool:
    try:
        check_address(text, "address")
    except InvalidInputError:
        return False
    return True
