"""The policies that the settings choose for a leader."""

from __future__ import annotations

import attrs

from marjoramgrade.decisions.admission.gate import (
    ADMISSION_POLICIES,
    AdmissionPolicyFactory,
)
from marjoramgrade.decisions.listings.schedule import (
    LISTING_SCHEDULES,
    ListingSchedule,
)
from marjoramgrade.decisions.stepplacement import PlacementRules


@attrs.frozen
class LeaderPolicies:
    """Policies of a leader, each an entry of a registry.

    Attributes:
        listing: Chooses how long the listing of a worker waits.
        has_zone_alerts: Whether an unanswered call shortens the listing waits of the
            worker's availability zone only, and not those of all workers.
        placement: Chooses the worker for a task, and the runs that make way for it.
        far_factor: How many times as long a task takes off the rack of its data; 0 if
            unknown, in which case no task waits for that rack.
        admission: Makes the policy that admits new jobs, for each leadership.
    """

    listing: ListingSchedule = LISTING_SCHEDULES.get("periodic")
    has_zone_alerts: bool = False
    placement: PlacementRules = PlacementRules()
    far_factor: float = 0.0
    admission: AdmissionPolicyFactory = ADMISSION_POLICIES.get("open_jobs")

    @classmethod
    def from_config(
        cls,
        listing: str,
        *,
        placement: str = "batch",
        preemption: str = "priority",
        far_factor: float = 0.0,
        admission: str = "open_jobs",
    ) -> LeaderPolicies:
        """Return the policies with these names.

        Raises:
            UnknownNameError: If a registry has no entry of that name.
        """
        return cls(
            LISTING_SCHEDULES.get(listing),
            listing == "expected",
            PlacementRules.from_config(placement, preemption),
            far_factor,
            ADMISSION_POLICIES.get(admission),
        )
