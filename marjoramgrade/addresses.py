"""Checks of network addresses that other programs chose."""

from __future__ import annotations

import ipaddress

from marjoramgrade.errors import InvalidInputError

MAX_PORT = 65_535


def check_host(host: str, name: str) -> str:
    """Return a text that must be an IP address without a scope.

    A scope, such as `eth0` in `fe80::1%eth0`, names an interface of the host that wrote
    it. The resolver would look it up as a part of a host name.

    Args:
        host: The text.
        name: What the address is, for the message.

    Raises:
        InvalidInputError: If it is not.
    """
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise InvalidInputError(f"{name} has no IP address") from None
    if "%" in host:
        raise InvalidInputError(f"{name} has an IP address with a scope")
    return host


def check_address(text: str, name: str) -> str:
    """Return a text that must be an IP address without a scope, and a port.

    Args:
        text: The text.
        name: What the address is, for the message.

    Raises:
        InvalidInputError: If it is not.
    """
    host, _, port = text.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not is_port or not 1 <= int(port) <= MAX_PORT:
        raise InvalidInputError(f"{name} has no port from 1 to {MAX_PORT}")
    check_host(host, name)
    return text
