"""Errors of listeners: fronts, admin ports, links, the fleet's and the council's."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class AddressUnavailableError(CressrockError):
    """An address to listen at could not be bound; the text names the setting, the address and why."""

    code: ClassVar[str] = "address-unavailable"
    remedy: ClassVar[str] = (
        "give each process of a machine addresses of its own in the setting that the text names; "
        "port 0 takes any that is free"
    )
