"""Errors of presence and rooms."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class PresenceError(CressrockError):
    """A presence operation failed; `status` is the HTTP status of the response."""

    code: ClassVar[str] = "presence"
    remedy: ClassVar[str] = "see the text; nothing was changed"
    status: ClassVar[int] = 400


class InvalidRoomError(PresenceError):
    """A request names an invalid room: its volume is unknown to this gateway, or its path is too long."""

    code = "presence-bad-room"
    remedy = "name a room by a path whose first segment is a volume of this gateway's settings"


class PresenceRequestError(PresenceError):
    """A presence request is malformed, or a field exceeds its limit."""

    code = "presence-bad-request"
    remedy = "correct the field that the text names; docs/presence.md lists all with their bounds"


class PresenceLimitError(PresenceError):
    """A presence limit of this gateway is reached: members of a room, members, rooms or watchers."""

    code = "presence-full"
    remedy = "raise the setting that the text names, or spread the clients over more gateways"
    status = 503


class SessionEndedError(PresenceError):
    """A token's session was not found: it ended, its grace is over, or no gateway that answers knows it."""

    code = "presence-session-over"
    remedy = "none needed: the client joins anew; raise presence.grace_ms if clients are away for longer"
    status = 410


class SessionUnavailableError(PresenceError):
    """A session's gateway is unreachable, and no other gateway here can verify the session's token."""

    code = "presence-session-elsewhere"
    remedy = "ask again, or at the session's own gateway; join `near` where a gateway's loss has to be borne"
    status = 503


class MajorityNotReachedError(PresenceError):
    """A `near` join was not acknowledged by a majority of the region in time; it was rolled back."""

    code = "presence-not-near"
    remedy = "look which gateways of the region are not heard from; or join `here`, and know what that means"
    status = 503


class NameHeldError(PresenceError):
    """Another session holds the agreed name and is not known to have ended."""

    code = "presence-name-held"
    remedy = "wait for its end, or take the name with `take`, which fences the holder"
    status = 409


class NameNotDecidedError(PresenceError):
    """The council did not decide on an agreed name in time, or the settings have no council."""

    code = "presence-not-agreed"
    remedy = "give this gateway the council's seats in its settings, and see that a majority of them is up"
    status = 503


class PresenceFrameError(PresenceError):
    """A frame from another gateway was malformed, too large, or from another version or cluster."""

    code = "presence-frame"
    remedy = "look for a process of another version or cluster at the address of a gateway"


class GatewayUnreachableError(PresenceError):
    """The gateway's admin port did not answer the client library."""

    code = "presence-unreachable"
    remedy = "see that the gateway runs, has `observe.admin` and `presence` set, and resume at another one"
    status = 503
