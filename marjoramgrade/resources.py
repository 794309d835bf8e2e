"""The resource vector that workers offer and tasks request."""

from __future__ import annotations

import attrs


@attrs.frozen(slots=True)
class Resources:
    """Amounts of each resource.

    Attributes:
        cpu_millis: Thousandths of a processor.
        memory_mib: Memory in MiB.
        accelerators: Whole accelerators.
        slots: Request slots of a backend server.
    """

    cpu_millis: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def fits(self, capacity: Resources) -> bool:
        """Return whether every amount is within the capacity."""
        return (
            self.cpu_millis <= capacity.cpu_millis
            and self.memory_mib <= capacity.memory_mib
            and self.accelerators <= capacity.accelerators
            and self.slots <= capacity.slots
        )

    def scaled(self, numerator: int, denominator: int) -> Resources:
        """Return every amount multiplied by a fraction, rounded down."""
        return Resources(
            self.cpu_millis * numerator // denominator,
            self.memory_mib * numerator // denominator,
            self.accelerators * numerator // denominator,
            self.slots * numerator // denominator,
        )

    def maximum(self, other: Resources) -> Resources:
        """Return the larger of each two amounts."""
        return Resources(
            max(self.cpu_millis, other.cpu_millis),
            max(self.memory_mib, other.memory_mib),
            max(self.accelerators, other.accelerators),
            max(self.slots, other.slots),
        )

    def dominant_share(self, total: Resources) -> float:
        """Return the largest ratio of an amount to its total, skipping zero totals."""
        pairs = (
            (self.cpu_millis, total.cpu_millis),
            (self.memory_mib, total.memory_mib),
            (self.accelerators, total.accelerators),
            (self.slots, total.slots),
        )
        return max((used / whole for used, whole in pairs if whole), default=0.0)


ZERO_RESOURCES = Resources()
