"""Reports the failure of a link to the actor that owns it."""

from __future__ import annotations

from marjoramgrade.actor import Actor, ActorFailure
from marjoramgrade.messages.peers import LinkFailed


def report_link(
    owner: Actor, instance_id: str, link: Actor, failure: ActorFailure
) -> None:
    """Tell the owner of a link that it has failed, in place of ending the process.

    Args:
        owner: The actor that replaces the link.
        instance_id: The instance or worker at the other end.
        link: The link.
        failure: What failed.
    """
    owner.tell_soon(LinkFailed(instance_id, link, failure))
