"""Errors of membership, its datagrams and its exchanges."""

from __future__ import annotations

from cressrock.errors import CressrockError


class DatagramError(CressrockError):
    """A datagram or a frame of the exchange was not taken; counted by its code and dropped."""

    code = "fleet-datagram"
    remedy = "see the reason that is counted beside it; a steady rate has a sender to be found"


class ForeignClusterError(DatagramError):
    """A datagram came from a process of another cluster id."""

    code = "fleet-foreign"
    remedy = "give processes of one fleet one cluster id, and fleets that share a network different ports"


class UnsupportedPacketVersionError(DatagramError):
    """A datagram is of a version of the wire format that this process does not know."""

    code = "fleet-version"
    remedy = "bring both processes to neighbouring versions of the program; the log names its address"


class MalformedPacketError(DatagramError):
    """A datagram or a frame cannot be read."""

    code = "fleet-malformed"
    remedy = "find what else sends to this port; between processes of the fleet it points at a damaged path"


class PacketTooLargeError(DatagramError):
    """A datagram or a frame is larger than is taken."""

    code = "fleet-too-large"
    remedy = "use one max_datagram on all processes, below what the path carries without fragments"


class StateExchangeError(CressrockError):
    """A full exchange of the member list ended before both sides had sent all."""

    code = "fleet-exchange"
    remedy = "open the fleet's port for TCP as well as UDP, both ways; it is tried again by itself"


class FencedError(CressrockError):
    """Another process of the same name has a newer process incarnation; this one has to stop."""

    code = "fleet-fenced"
    remedy = "stop this process, or give it a name of its own: two processes were started under one name"
