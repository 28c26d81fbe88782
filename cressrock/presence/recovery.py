"""Moves a session to this gateway: handed over by its gateway, or taken over if that gateway is silent."""

from __future__ import annotations

import enum
import hmac
from typing import NamedTuple

from cressrock.errors.presence import SessionEndedError, SessionUnavailableError
from cressrock.presence.environment import ServiceContext
from cressrock.presence.liveness import GatewayState
from cressrock.presence.messages import (
    HandOverDone,
    HandOverRequest,
    MemberEntry,
    Origin,
    Reply,
    digest_of_secret,
)
from cressrock.presence.peer_streams import PeerStreams
from cressrock.presence.regional_replicas import RegionalReplicas
from cressrock.presence.sessions import Session, SessionToken
from cressrock.presence.view import KnownMember
from cressrock.presence.watches import Watches


class ResumedBy(enum.StrEnum):
    """How a session was resumed, as the admin port reports it."""

    CONTACT = "here"
    HAND_OVER = "handed over"
    ADOPTION = "taken over"


class ResumedSession(NamedTuple):
    """A session that was resumed at this gateway, and how."""

    session: Session
    resumed_by: ResumedBy


class SessionRecovery:
    """Resumes sessions that belong to other gateways."""

    def __init__(
        self,
        context: ServiceContext,
        streams: PeerStreams,
        replicas: RegionalReplicas,
        watches: Watches,
    ) -> None:
        """`streams` sends requests to a session's gateway, `replicas` to those that may hold its entry."""
        self._environment, self._context = context.environment, context
        self._streams, self._replicas, self._watches = streams, replicas, watches
        self._rooms = context.rooms

    async def recover(self, token: SessionToken, timeout_ms: float) -> ResumedSession:
        """Resume a session at this gateway; each of the two requests may take half of `timeout_ms`.

        Raises SessionEndedError, SessionUnavailableError, PresenceLimitError.
        """
        await self._watches.synced_view(token.room)
        known = await self._locate(token, timeout_ms / 2)
        if known.origin == self._rooms.origin:
            raise SessionEndedError(f"session {token.member_id} has ended")
        if self._may_be_reachable(known.origin):
            reply = await self._request_hand_over(token, known.origin, timeout_ms / 2)
            if reply is not None:
                session = self._accept_handed_over(token, known.origin, reply)
                return ResumedSession(session, ResumedBy.HAND_OVER)
        return ResumedSession(self._take_over(token, known), ResumedBy.ADOPTION)

    async def _locate(self, token: SessionToken, timeout_ms: float) -> KnownMember:
        """Return the member's newest known entry and gateway.

        Looks in this gateway's view, then asks the room's replicas, then assumes the gateway that is named in
        the member's id if it is alive. Raises SessionUnavailableError.
        """
        last_known = self._rooms.last_known(token.room, token.member_id)
        if last_known is not None:
            return last_known
        known = await self._replicas.find(token.room, token.member_id, timeout_ms)
        if known is not None:
            return known
        home_name = token.member_id.split(".")[0]
        for gateway in self._environment.other_gateways():
            if gateway.name == home_name and gateway.state is GatewayState.ALIVE:
                return KnownMember(MemberEntry(token.member_id), Origin(gateway.name, gateway.incarnation))
        raise SessionUnavailableError(f"session {token.member_id}: nobody who answers holds it")

    def _may_be_reachable(self, origin: Origin) -> bool:
        if self._rooms.is_reachable(origin):
            return True
        return any(
            (gateway.name, gateway.incarnation) == origin and gateway.state is GatewayState.ALIVE
            for gateway in self._environment.other_gateways()
        )

    async def _request_hand_over(
        self, token: SessionToken, origin: Origin, timeout_ms: float
    ) -> Reply | None:
        def request(number: int) -> HandOverRequest:
            """Return the hand-over request with this request number."""
            return HandOverRequest(number, token.room, token.member_id, token.secret)

        return await self._streams.request(origin, request, timeout_ms)

    def _accept_handed_over(self, token: SessionToken, origin: Origin, reply: Reply) -> Session:
        if not reply.done or reply.entry is None:
            raise SessionEndedError(
                f"session {token.member_id} has ended at {origin.gateway}, or the token is an older one"
            )
        session = self._rooms.adopt(self._context.now_ms(), token.room, reply.entry)
        done = HandOverDone(token.room, token.member_id, session.entry.hop, self._rooms.version)
        self._streams.send(origin, done)
        return session

    def _take_over(self, token: SessionToken, known: KnownMember) -> Session:
        """Take over a session whose gateway does not answer, checking the secret by its digest."""
        entry, member_id = known.entry, token.member_id
        if not entry.secret_digest:
            raise SessionUnavailableError(
                f"session {member_id}: {known.origin.gateway} does not answer, and nobody holds its check"
            )
        if entry.has_ended:
            raise SessionEndedError(f"session {member_id} has ended")
        if not hmac.compare_digest(digest_of_secret(token.secret), entry.secret_digest):
            raise SessionEndedError(f"session {member_id}: the token is not the one it was given last")
        return self._rooms.adopt(self._context.now_ms(), token.room, entry)
