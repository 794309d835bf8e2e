"""Messages about the platform's list of instances."""

from __future__ import annotations

import attrs

from marjoramgrade.actor import Message
from marjoramgrade.model import Instance


@attrs.frozen
class InstancesChanged(Message[None]):
    """The platform's list of instances as last read."""

    instances: tuple[Instance, ...]
