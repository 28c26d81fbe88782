"""Errors of presence and rooms."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class PresenceError(CressrockError):
    """Presence could not do what it was asked; `status` is the HTTP status of the answer."""

    code: ClassVar[str] = "presence"
    remedy: ClassVar[str] = "see the text; nothing was changed"
    status: ClassVar[int] = 400


class InvalidRoomError(PresenceError):
    """A request names no room that can be: no volume of this gateway, or a path past its bound."""

    code = "presence-bad-room"
    remedy = "name a room by a path whose first segment is a volume of this gateway's settings"


class PresenceRequestError(PresenceError):
    """A request of presence is malformed, or a field is past its bound."""

    code = "presence-bad-request"
    remedy = "correct the field that the text names; docs/presence.md lists all with their bounds"


class PresenceLimitError(PresenceError):
    """A bound of presence is reached at this gateway: members of a room, members, rooms or watchers."""

    code = "presence-full"
    remedy = "raise the setting that the text names, or spread the clients over more gateways"
    status = 503


class SessionEndedError(PresenceError):
    """The session of a token is not here: it ended, its grace is over, or nobody who answers knows it."""

    code = "presence-session-over"
    remedy = "none needed: the client joins anew; raise presence.grace_ms if clients are away for longer"
    status = 410


class SessionUnavailableError(PresenceError):
    """A session's gateway could not be asked, and nobody here holds what its token is checked against."""

    code = "presence-session-elsewhere"
    remedy = "ask again, or at the session's own gateway; join `near` where a gateway's loss has to be borne"
    status = 503


class MajorityNotReachedError(PresenceError):
    """A join `near` was not taken over by a majority of the region in time; it was withdrawn."""

    code = "presence-not-near"
    remedy = "look which gateways of the region are not heard from; or join `here`, and know what that means"
    status = 503


class NameHeldError(PresenceError):
    """Another session holds the agreed name, and is not known to be gone."""

    code = "presence-name-held"
    remedy = "wait for its end, or take the name with `take`, which fences the holder"
    status = 409


class NameNotDecidedError(PresenceError):
    """The council did not decide on an agreed name in time, or there is none in the settings."""

    code = "presence-not-agreed"
    remedy = "give this gateway the council's seats in its settings, and see that a majority of them is up"
    status = 503


class PresenceFrameError(PresenceError):
    """A frame from another gateway was malformed, too large, or of another version or cluster."""

    code = "presence-frame"
    remedy = "look for a process of another version or cluster at the address of a gateway"


class GatewayUnreachableError(PresenceError):
    """The gateway's admin port did not answer the library."""

    code = "presence-unreachable"
    remedy = "see that the gateway runs, has `observe.admin` and `presence` set, and resume at another one"
    status = 503
