"""Errors of membership: its datagrams and state exchanges."""

from __future__ import annotations

from cressrock.errors import CressrockError


class DatagramError(CressrockError):
    """A datagram or a frame of a state exchange was dropped, and counted by its error code."""

    code = "fleet-datagram"
    remedy = "see the reason that is counted beside it; a steady rate has a sender to be found"


class ForeignClusterError(DatagramError):
    """A datagram came from a process with another cluster id."""

    code = "fleet-foreign"
    remedy = "give processes of one fleet one cluster id, and fleets that share a network different ports"


class UnsupportedPacketVersionError(DatagramError):
    """A datagram has a wire format version that this process cannot read."""

    code = "fleet-version"
    remedy = "bring both processes to neighbouring versions of the program; the log names its address"


class MalformedPacketError(DatagramError):
    """A datagram or a frame could not be decoded."""

    code = "fleet-malformed"
    remedy = "find what else sends to this port; between processes of the fleet it points at a damaged path"


class PacketTooLargeError(DatagramError):
    """A datagram or a frame exceeds the size limit."""

    code = "fleet-too-large"
    remedy = "use one max_datagram on all processes, below what the path carries without fragments"


class StateExchangeError(CressrockError):
    """A full exchange of the member list ended before both sides had sent everything."""

    code = "fleet-exchange"
    remedy = "open the fleet's port for TCP as well as UDP, both ways; it is tried again by itself"


class FencedError(CressrockError):
    """Another process with the same name has a newer incarnation; this one must stop."""

    code = "fleet-fenced"
    remedy = "stop this process, or give it a name of its own: two processes were started under one name"
