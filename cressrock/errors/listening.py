"""Errors of listening sockets: client and admin ports, links, membership and consensus."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class AddressUnavailableError(CressrockError):
    """A listen address could not be bound; the text names the setting, the address and the cause."""

    code: ClassVar[str] = "address-unavailable"
    remedy: ClassVar[str] = (
        "give each process of a machine addresses of its own in the setting that the text names; "
        "port 0 takes any that is free"
    )
