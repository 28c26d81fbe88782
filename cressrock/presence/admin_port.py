"""Serves presence on the admin port: requests under /v1/presence/, with JSON answers (`docs/presence.md`)."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from urllib.parse import parse_qs, unquote

import msgspec

from cressrock.errors.presence import PresenceError, PresenceRequestError, SessionEndedError
from cressrock.http.server import Exchange
from cressrock.presence import requests
from cressrock.presence.answers import Answer, AnswerWriter
from cressrock.presence.environment import ServiceContext
from cressrock.presence.feed import Cursor, Reason, RoomEvent
from cressrock.presence.gossip_entries import GossipEntries
from cressrock.presence.name_claims import NameClaims
from cressrock.presence.recovery import ResumedBy, SessionRecovery
from cressrock.presence.regional_replicas import RegionalReplicas
from cressrock.presence.requests import JoinRequest, Meaning, SessionRequest
from cressrock.presence.sessions import Session
from cressrock.presence.view import RoomView
from cressrock.presence.watches import Watches

PATH_PREFIX = "/v1/presence/"
ROOMS_PREFIX = "rooms/"
JSON_HEADERS = [(b"content-type", b"application/json")]
CONTACTS_PER_GRACE_PERIOD = 3  # contacts recorded per `grace_ms` while a client waits in a long poll


class AdminPort:
    """Answers clients' requests; joins and resumes may involve other gateways."""

    def __init__(
        self,
        context: ServiceContext,
        entries: GossipEntries,
        names: NameClaims,
        replicas: RegionalReplicas,
        recovery: SessionRecovery,
        watches: Watches,
    ) -> None:
        """All arguments are shared with the service."""
        self._context = context
        self._settings, self._environment = context.settings, context.environment
        self._rooms = context.rooms
        self._entries, self._names, self._watches = entries, names, watches
        self._replicas, self._recovery = replicas, recovery
        self._answers = AnswerWriter(context, entries, names)
        self._actions: Mapping[str, Callable[[bytes], Awaitable[Answer]]] = {
            "join": self._join,
            "resume": self._resume,
            "touch": self._touch,
            "leave": self._leave,
            "agreed": self._claim_name,
            "release": self._release_name,
        }

    async def handle(self, exchange: Exchange) -> None:
        """Answer a request under /v1/presence/; a PresenceError becomes an error response."""
        try:
            path, _, query = exchange.head.target.decode("latin-1").partition("?")
            method = exchange.head.method.decode("latin-1")
            action = self._actions.get(path.removeprefix(PATH_PREFIX)) if method == "POST" else None
            if action is not None:
                answer = await action(await self._read_body(exchange))
            else:
                answer = await self.get(method, path, query)
        except PresenceError as error:
            await exchange.respond(error.status, JSON_HEADERS, msgspec.json.encode(error.fields()))
            return
        await exchange.respond(200, JSON_HEADERS, msgspec.json.encode(answer))

    async def post(self, action: str, body: bytes) -> Answer:
        """Answer a POST to an action, such as `join`, with this JSON body.  Raises PresenceError."""
        return await self._actions[action](body)

    async def get(self, method: str, path: str, query: str) -> Answer:
        """Answer a GET.  Raises PresenceError, also for other methods and unknown paths."""
        fields = {key: values[-1] for key, values in parse_qs(query, keep_blank_values=True).items()}
        actions = ", ".join(self._actions)
        if method != "GET":
            raise PresenceRequestError(f"{method} {path}: POST to {actions}, else GET")
        target = path.removeprefix(PATH_PREFIX)
        if target.startswith(ROOMS_PREFIX):
            room = self._parse_room(unquote(target.removeprefix(ROOMS_PREFIX)))
            return self._answers.snapshot(await self._watches.synced_view(room))
        if target == "watch":
            return await self._watch(fields)
        if target == "carriers":
            carriers = self._entries.carriers(fields.get("volume"))
            return {"carriers": carriers, "not_heard": self._answers.unreported(None)}
        raise PresenceRequestError(f"{path}: rooms/PATH, watch, carriers, or POST to {actions}")

    async def _read_body(self, exchange: Exchange) -> bytes:
        chunks: list[bytes] = []
        size = 0
        while data := await exchange.read():
            size += len(data)
            if size > self._settings.max_body_bytes:
                raise PresenceRequestError(f"a body of over {self._settings.max_body_bytes} bytes")
            chunks.append(data)
        return b"".join(chunks)

    def _parse_room(self, path: str) -> str:
        return requests.parse_room(path, self._environment.volumes())

    def own_session(self, token: str) -> Session:
        """Return the session of a token.

        Raises SessionEndedError if it is not at this gateway, PresenceRequestError or InvalidRoomError if the
        token is malformed.
        """
        parsed = requests.parse_token(token, self._environment.volumes())
        session = self._rooms.session(parsed.member_id, parsed.secret)
        if session is None or session.room != parsed.room:
            raise SessionEndedError(f"session {parsed.member_id} is not at this gateway")
        return session

    # --- sessions

    async def _join(self, body: bytes) -> Answer:
        request = requests.decode_request(JoinRequest, body)
        meaning = requests.parse_meaning(request.meaning)
        if meaning is Meaning.AGREED:
            requests.check_agreed_name(request.name)
        room = self._parse_room(request.room)
        view = await self._watches.synced_view(room)
        session = self._rooms.join(self._context.now_ms(), room, request.data, request.locks)
        version = self._rooms.version
        self._context.carry_out()
        try:
            guarantee_fields = await self._provide_guarantee(meaning, session, version, request)
        except BaseException:
            # On any failure, including a disconnected client, the member is removed: a join without an
            # answer must leave no member behind.
            self._rooms.leave(self._context.now_ms(), session, Reason.WITHDRAWN)
            self._context.carry_out()
            raise
        answers = self._answers
        return {
            "meaning": meaning.value,
            **answers.session(session),
            **guarantee_fields,
            **answers.snapshot(view),
        }

    async def _provide_guarantee(
        self, meaning: Meaning, session: Session, version: int, request: JoinRequest
    ) -> Answer:
        """Provide the guarantee that a join requested beyond this gateway; return its answer fields."""
        if meaning is Meaning.NEAR:
            return {"near": await self._replicas.replicate(session.room, version, request.wait_ms)}
        if meaning is Meaning.AGREED:
            return await self._hold_name(
                session, request.name, preempt=request.preempt, timeout_ms=request.wait_ms
            )
        return {}

    async def _resume(self, body: bytes) -> Answer:
        request = requests.decode_request(SessionRequest, body)
        token = requests.parse_token(request.token, self._environment.volumes())
        session = self._rooms.session(token.member_id, token.secret)
        resumed_by = ResumedBy.CONTACT
        if session is None or session.room != token.room:
            session, resumed_by = await self._recovery.recover(token, request.wait_ms)
        self._rooms.touch(self._context.now_ms(), session, request.data, request.locks)
        self._context.carry_out()
        view = await self._watches.synced_view(token.room)
        return {"resumed": resumed_by.value, **self._answers.session(session), **self._answers.snapshot(view)}

    async def _touch(self, body: bytes) -> Answer:
        request = requests.decode_request(SessionRequest, body)
        session = self.own_session(request.token)
        self._rooms.touch(self._context.now_ms(), session, request.data, request.locks)
        self._context.carry_out()
        return self._answers.session(session)

    async def _leave(self, body: bytes) -> Answer:
        request = requests.decode_request(SessionRequest, body)
        self._rooms.leave(self._context.now_ms(), self.own_session(request.token))
        self._context.carry_out()
        return {"left": True}

    # --- agreed names

    async def _claim_name(self, body: bytes) -> Answer:
        request = requests.decode_request(SessionRequest, body)
        requests.check_agreed_name(request.name)
        session = self.own_session(request.token)
        self._rooms.touch(self._context.now_ms(), session)
        answer = self._answers.session(session)
        hold = await self._hold_name(
            session, request.name, preempt=request.preempt, timeout_ms=request.wait_ms
        )
        return {**answer, **hold}

    async def _hold_name(self, session: Session, name: str, *, preempt: bool, timeout_ms: float) -> Answer:
        number = await self._names.claim(session, name, preempt=preempt, timeout_ms=timeout_ms)
        return {"name": name, "number": number, "hold_ms": self._settings.hold_ms}

    async def _release_name(self, body: bytes) -> Answer:
        request = requests.decode_request(SessionRequest, body)
        return {"released": self._names.release(self.own_session(request.token), request.name)}

    # --- watching

    async def _watch(self, query: Mapping[str, str]) -> Answer:
        room = self._parse_room(query.get("room", ""))
        wait_ms = requests.parse_number(query, "wait_ms", self._settings.longest_wait_ms)
        self._watches.check_capacity()
        token, after = query.get("token", ""), query.get("after", "")
        if token:
            self._rooms.touch(self._context.now_ms(), self.own_session(token))
        view = self._rooms.open_view(self._context.now_ms(), room)
        cursor = requests.parse_cursor(self._rooms.origin, after)
        if cursor is None or view.feed.events_after(*cursor) is None:
            view = await self._watches.synced_view(room)
            return {"resync": bool(after), "events": [], **self._answers.snapshot(view)}
        with self._watches.watching(view):
            self._context.carry_out()
            self._context.wake()
            events = await self._next_events(view, cursor, token, wait_ms)
        view.expires_at_ms = self._context.now_ms() + self._rooms.settings.linger_ms
        if events is None:
            return {"resync": True, "events": [], **self._answers.snapshot(view)}
        return {"resync": False, "events": events, **self._answers.common_fields(view)}

    async def _next_events(
        self, view: RoomView, cursor: Cursor, token: str, wait_ms: float
    ) -> list[RoomEvent] | None:
        """Return the events after a cursor, waiting up to `wait_ms` for one; None if a snapshot is needed."""
        ends_at_ms = self._context.now_ms() + wait_ms
        events = view.feed.events_after(*cursor)
        while events == [] and (left_ms := ends_at_ms - self._context.now_ms()) > 0:
            if token:
                # An open long poll counts as contact, so the session is touched while it waits.
                left_ms = min(left_ms, self._rooms.settings.grace_ms / CONTACTS_PER_GRACE_PERIOD)
            await self._watches.wait_for_events(view.room, left_ms)
            if token:
                self._rooms.touch(self._context.now_ms(), self.own_session(token))
            events = view.feed.events_after(*cursor)
        return events
