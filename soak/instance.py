"""Starts an entry instance with the settings file given as first argument.

The instance connects to others through the relay, so that it can be cut off from them.
"""

import os
import sys

import attrs

from marjoramgrade.adapters.peerlink import PeerLink
from marjoramgrade.messages.peers import Member
from marjoramgrade.platform import daemon
from soak.cell import relay_host


def connect_through_relay(own_id: str, own_host: str, member: Member) -> PeerLink:
    """Return a link to another instance by way of the relay."""
    relayed = attrs.evolve(member, host=relay_host(member.host))
    return PeerLink(own_id, own_host, relayed)


if __name__ == "__main__":
    os.environ[daemon.SETTINGS_VARIABLE] = sys.argv[1]
    setattr(daemon, "PeerLink", connect_through_relay)  # noqa: B010
    sys.exit(daemon.main())
