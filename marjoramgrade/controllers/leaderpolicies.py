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


@attrs.frozen
class LeaderPolicies:
    """Policies of a leader, each an entry of a registry.

    Attributes:
        listing: Chooses how long the listing of a worker waits.
        has_zone_alerts: Whether an unanswered call shortens the listing waits of the
            worker's availability zone only, and not those of all workers.
        admission: Makes the policy that admits new jobs, for each leadership.
    """

    listing: ListingSchedule = LISTING_SCHEDULES.get("periodic")
    has_zone_alerts: bool = False
    admission: AdmissionPolicyFactory = ADMISSION_POLICIES.get("open_jobs")

    @classmethod
    def from_config(cls, listing: str, admission: str = "open_jobs") -> LeaderPolicies:
        """Return the policies with these names.

        Raises:
            UnknownNameError: If a registry has no entry of that name.
        """
        return cls(
            LISTING_SCHEDULES.get(listing),
            listing == "expected",
            ADMISSION_POLICIES.get(admission),
        )
