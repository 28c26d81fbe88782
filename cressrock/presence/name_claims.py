"""Agreed names at this gateway: claims by the consensus, what others hold, and giving up what is over."""

from __future__ import annotations

import anyio

from cressrock.consensus.decisions import Decision
from cressrock.errors import CressrockError
from cressrock.errors.consensus import ConsensusError, DecisionConflictError
from cressrock.errors.presence import (
    NameHeldError,
    NameNotDecidedError,
    PresenceFrameError,
    PresenceLimitError,
    SessionEndedError,
)
from cressrock.presence import agreed_names
from cressrock.presence.agreed_names import AlreadyOwner, NameHold, NameHolder, OwnedByOther, topic_of
from cressrock.presence.environment import Consensus, ServiceContext
from cressrock.presence.feed import EventKind, RoomEvent
from cressrock.presence.liveness import GatewayState, is_dead_for_good
from cressrock.presence.sessions import Session

MAX_KNOWN_HOLDS = 4096  # the oldest are forgotten first
AFTER_ALL_NAMES = "~"  # sorts after every gateway's name


class NameClaims:
    """Which names are held, by whom, and which of them this gateway has to give up."""

    def __init__(self, context: ServiceContext) -> None:
        """Nothing is held yet."""
        self.rejected = 0  # decisions that were no holder of a name
        self._context = context
        self._settings, self._environment = context.settings, context.environment
        self._rooms = context.rooms
        self._holds: dict[str, NameHold] = {}  # by topic, of the decisions received
        self._to_drop: dict[str, int] = {}  # topic -> number of the decision
        self._claiming: set[tuple[str, str]] = set()  # topic, member

    def count(self) -> int:
        """Return how many names the sessions here hold."""
        return sum(len(session.agreed_names or ()) for session in self._rooms.sessions.values())

    def holds_in(self, room: str, members: set[str]) -> list[NameHold]:
        """Return the names that members hold in a room."""
        return [
            hold
            for hold in self._holds.values()
            if hold.holder.room == room and hold.holder.member in members
        ]

    def counts(self, hold: NameHold) -> bool:
        """Whether a hold still counts by this process's cache of decisions."""
        decision = self._environment.cached_decision(topic_of(hold.holder.room, hold.holder.name))
        return isinstance(decision, Decision) and decision.version == hold.number

    # --- claims and their end

    async def claim(self, session: Session, name: str, *, preempt: bool, timeout_ms: float) -> int:
        """Have a session hold a name; return its token.

        Raises NameHeldError, NameNotDecidedError, PresenceLimitError, SessionEndedError.
        """
        consensus = self._environment.consensus()
        if consensus is None:
            raise NameNotDecidedError("this gateway knows no council")
        if self.count() >= self._settings.max_names:
            raise PresenceLimitError(f"{self._settings.max_names} agreed names here (presence.max_names)")
        holder = self._holder(session, name)
        topic = topic_of(session.room, name)
        reason = "the council did not answer"
        # By the room's feed a claim may be known before it is answered here: it is not unwanted meanwhile.
        self._claiming.add((topic, holder.member))
        try:
            with anyio.move_on_after(timeout_ms / 1000):
                return await self._claim_until_decided(consensus, session, holder, preempt=preempt)
        except ConsensusError as error:
            reason = error.text
        finally:
            self._claiming.discard((topic, holder.member))
        raise NameNotDecidedError(f"name {name!r} in room {session.room!r}: {reason}")

    def _holder(self, session: Session, name: str) -> NameHolder:
        environment = self._environment
        return NameHolder(
            agreed_names.FORMAT,
            session.room,
            name,
            session.entry.id,
            environment.name,
            environment.incarnation,
        )

    async def _claim_until_decided(
        self, consensus: Consensus, session: Session, holder: NameHolder, *, preempt: bool
    ) -> int:
        while True:
            try:
                number = await self._claim_once(consensus, holder, preempt=preempt)
            except DecisionConflictError:
                continue  # another decision came between: read again what stands
            if self._rooms.sessions.get(holder.member) is not session:
                self._to_drop[topic_of(holder.room, holder.name)] = number
                raise SessionEndedError(f"session {holder.member} ended meanwhile")
            session.agreed_names = {**(session.agreed_names or {}), holder.name: number}
            return number

    async def _claim_once(self, consensus: Consensus, claimant: NameHolder, *, preempt: bool) -> int:
        topic = topic_of(claimant.room, claimant.name)
        decision = await consensus.read(topic)
        current = None
        if decision is not None:
            current = NameHold(agreed_names.decode_holder(decision.value), decision.version)
        dead = current is not None and self._is_dead(current.holder)
        outcome = agreed_names.decide_claim(current, claimant.member, holder_dead=dead, preempt=preempt)
        if isinstance(outcome, AlreadyOwner):
            return outcome.number
        if isinstance(outcome, OwnedByOther):
            held = f"{claimant.name!r} in {claimant.room!r}"
            raise NameHeldError(f"{outcome.holder.member} holds {held} by token {outcome.number}")
        value = agreed_names.encode_holder(claimant)
        decided = await consensus.decide(topic, value, self._settings.hold_ms, outcome.if_number)
        return decided.version

    def _is_dead(self, holder: NameHolder) -> bool:
        environment = self._environment
        if holder.gateway == environment.name:
            return holder.incarnation != environment.incarnation or holder.member not in self._rooms.sessions
        return is_dead_for_good(
            holder.gateway,
            holder.incarnation,
            environment.other_gateways(),
            environment.clock_ms(),
            self._rooms.settings.gone_ms,
        )

    def release(self, session: Session, name: str) -> bool:
        """Give a session's name up; whether it held it."""
        number = (session.agreed_names or {}).pop(name, None)
        if number is None:
            return False
        self.give_up(session.room, name, number)
        return True

    def give_up(self, room: str, name: str, number: int) -> None:
        """Have a name dropped, if this decision on it still stands."""
        self._to_drop[topic_of(room, name)] = number

    # --- decisions received

    def on_decision(self, decision: Decision) -> None:
        """Apply a decision of any topic: who holds a name now, and who is fenced."""
        if not decision.topic.startswith(agreed_names.TOPIC_PREFIX):
            return
        before = self._holds.get(decision.topic)
        if before is not None and before.number >= decision.version:
            return
        try:
            holder = agreed_names.decode_holder(decision.value)
        except PresenceFrameError:
            self.rejected += 1  # of a newer program; nobody here can have asked for it
            return
        self._holds[decision.topic] = NameHold(holder, decision.version)
        while len(self._holds) > MAX_KNOWN_HOLDS:
            del self._holds[min(self._holds, key=lambda topic: self._holds[topic].number)]
        if before is not None and before.holder.member != holder.member:
            self._fence(before.holder, decision.version)
        acquired = RoomEvent(
            event=EventKind.NAME_ACQUIRED,
            member=holder.member,
            gateway=holder.gateway,
            name=holder.name,
            number=decision.version,
        )
        self._rooms.append_event(holder.room, acquired)
        self._context.carry_out()

    def _fence(self, former: NameHolder, number: int) -> None:
        fenced = RoomEvent(event=EventKind.NAME_FENCED, member=former.member, name=former.name, number=number)
        self._rooms.append_event(former.room, fenced)
        session = self._rooms.sessions.get(former.member)
        if session is not None and session.agreed_names:
            session.agreed_names.pop(former.name, None)

    # --- giving up what is over

    def drop_abandoned(self) -> None:
        """Give up names whose holders are gone for good: own ones, and those of gateways that are no more."""
        if not self._holds:
            return
        for topic, hold in list(self._holds.items()):
            if topic in self._to_drop or (topic, hold.holder.member) in self._claiming:
                continue
            if not isinstance(self._environment.cached_decision(topic), Decision):
                continue  # it no longer counts; whoever dropped it is done
            if self._has_to_drop(hold):
                self._to_drop[topic] = hold.number

    def _has_to_drop(self, hold: NameHold) -> bool:
        environment, holder = self._environment, hold.holder
        if (holder.gateway, holder.incarnation) == (environment.name, environment.incarnation):
            session = self._rooms.sessions.get(holder.member)
            return session is None or (session.agreed_names or {}).get(holder.name) != hold.number
        if not self._is_dead(holder):
            return False
        # One of the living does it; two would do no harm, the number guards.
        others = environment.other_gateways()
        alive = [gateway.name for gateway in others if gateway.state is GatewayState.ALIVE]
        return environment.name < min(alive, default=AFTER_ALL_NAMES)

    async def run_dropping(self) -> None:
        """Let the consensus drop what is over, one after another, until cancelled."""
        while True:
            await anyio.sleep(self._settings.tell_ms / 1000)
            consensus = self._environment.consensus()
            if consensus is None or not self._to_drop:
                await anyio.sleep(self._settings.beat_ms / 2000)
                continue
            topic, number = next(iter(self._to_drop.items()))
            try:
                await consensus.drop(topic, number)
            except DecisionConflictError:
                pass  # another holder stands: it was not this one's to drop
            except CressrockError:
                # No leader, or no majority: the same topic is tried again after a while.
                await anyio.sleep(self._settings.beat_ms / 1000)
                continue
            self._forget_dropped(topic, number)

    def _forget_dropped(self, topic: str, number: int) -> None:
        if self._to_drop.get(topic) == number:
            del self._to_drop[topic]
        current = self._holds.get(topic)
        if current is not None and current.number == number:
            del self._holds[topic]
