"""Schedules of worker listings.

The load is a large fleet whose workers report little most of the time: with a fixed
short wait, the number of listings grows with the workers and not with the runs that
end. A listing is a long poll, so the end of a run is reported at once whatever the
wait. The wait bounds how late the progress of runs is seen, and how long a worker that
was cut off goes unnoticed.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from marjoramgrade.registry import Registry

# The fixed schedule: any worker reports progress this often.
PERIODIC_WAIT_MS = 600
# The wait while calls get no response: an end that occurs during a lost call is seen
# only with the next one.
ALERT_WAIT_MS = 200
# The wait for a worker with runs. Supervision takes reports that are at most 2 s apart,
# and a lost listing and the two after it must fit into a lease of 3.2 s.
BUSY_WAIT_MS = 1_000
# The wait for a worker without runs, which has no lease to renew. It is the longest
# that workers allow.
IDLE_WAIT_MS = 2_000


@attrs.frozen
class WorkerActivity:
    """What the leader's link expects of a worker.

    Attributes:
        has_runs: Whether the worker has or may have runs.
        is_alert: Whether calls to this worker or to its neighbours got no response
            lately.
        has_failed: Whether the last listing of this worker failed. Its lease is
            extended only after it has responded.
    """

    has_runs: bool
    is_alert: bool
    has_failed: bool


ListingSchedule = Callable[[WorkerActivity], int]
LISTING_SCHEDULES: Registry[ListingSchedule] = Registry("listing schedule")


@LISTING_SCHEDULES.register("periodic")
def periodic(activity: WorkerActivity) -> int:
    """Return the same wait for every worker, shorter while calls fail."""
    return ALERT_WAIT_MS if activity.is_alert else PERIODIC_WAIT_MS


@LISTING_SCHEDULES.register("expected")
def expected(activity: WorkerActivity) -> int:
    """Return the longest wait that what is expected of the worker allows."""
    if activity.has_failed or (activity.is_alert and activity.has_runs):
        return ALERT_WAIT_MS
    return BUSY_WAIT_MS if activity.has_runs else IDLE_WAIT_MS
