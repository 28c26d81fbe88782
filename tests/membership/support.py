"""Helpers shared by the membership tests: one state machine without a network, and updates for it."""

import random

from cressrock.membership import packets
from cressrock.membership.membership import Membership
from cressrock.membership.packets import MemberInfo, MemberState, MemberUpdate
from cressrock.membership.settings import MembershipSettings
from cressrock.membership.types import Identity

SEED = 7
SUSPECT_UPDATE = MemberUpdate("a", 5, 2, MemberState.SUSPECT, "b")
FULL_UPDATE = MemberUpdate("a", 5, 0, MemberState.ALIVE, "", MemberInfo("h:1", "edge", "z", "r", b"x"))


def start_membership(name="me", *, process_incarnation=5, settings=None):
    """Return the membership of one process without seeds or other members."""
    identity = Identity(name, process_incarnation, f"{name}:1")
    return Membership(identity, settings or MembershipSettings(), (), random.Random(SEED), 0.0)


def receive(membership, now_ms, sender, message, process_incarnation=1):
    """Deliver a message of `sender` to the membership."""
    membership.receive(now_ms, f"{sender}:1", packets.Packet(sender, process_incarnation, message))


def alive(name, process_incarnation=1, incarnation=0, address=None):
    """Return a full alive update, by which a process becomes known."""
    info = MemberInfo(address or f"{name}:1", "edge")
    return MemberUpdate(name, process_incarnation, incarnation, MemberState.ALIVE, "", info)
