"""Agreed names at this gateway: claims through the consensus, known holders, and dropping stale names."""

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
from cressrock.presence.liveness import GatewayState, is_incarnation_over
from cressrock.presence.sessions import Session

MAX_KNOWN_HOLDS = 4096  # the oldest are evicted first
AFTER_ALL_NAMES = "~"  # sorts after the name of any gateway


class NameClaims:
    """The known holders of names, and the names that this gateway has to drop."""

    def __init__(self, context: ServiceContext) -> None:
        """`context` supplies the rooms, the settings, and access to the consensus."""
        self.rejected = 0  # decisions that could not be decoded
        self._context = context
        self._settings, self._environment = context.settings, context.environment
        self._rooms = context.rooms
        self._holds: dict[str, NameHold] = {}  # by topic, from the decisions received
        self._pending_drops: dict[str, int] = {}  # topic -> number of the decision
        self._claiming: set[tuple[str, str]] = set()  # topic, member

    def count(self) -> int:
        """Return the number of names that this gateway's sessions hold."""
        return sum(len(session.agreed_names or ()) for session in self._rooms.sessions.values())

    def holds_in(self, room: str, members: set[str]) -> list[NameHold]:
        """Return the holds of a room whose holders are among `members` (ids)."""
        return [
            hold
            for hold in self._holds.values()
            if hold.holder.room == room and hold.holder.member in members
        ]

    def counts(self, hold: NameHold) -> bool:
        """Return whether a hold is still valid according to this process's cache of decisions."""
        decision = self._environment.cached_decision(topic_of(hold.holder.room, hold.holder.name))
        return isinstance(decision, Decision) and decision.version == hold.number

    # --- claims and releases

    async def claim(self, session: Session, name: str, *, preempt: bool, timeout_ms: float) -> int:
        """Claim a name for a session; return the fencing token.  With `preempt`, take it from another holder.

        Raises NameHeldError if another member holds it, NameNotDecidedError if there is no decision within
        `timeout_ms`, PresenceLimitError past `max_names`, SessionEndedError if the session ends meanwhile.
        """
        consensus = self._environment.consensus()
        if consensus is None:
            raise NameNotDecidedError("this gateway knows no council")
        if self.count() >= self._settings.max_names:
            raise PresenceLimitError(f"{self._settings.max_names} agreed names here (presence.max_names)")
        holder = self._holder(session, name)
        topic = topic_of(session.room, name)
        reason = "the council did not answer"
        # The decision may arrive through `on_decision` before this call returns.  Until then `drop_abandoned`
        # must not take the name for abandoned.
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
                continue  # another decision was made since the read: read the current one again
            if self._rooms.sessions.get(holder.member) is not session:
                self._pending_drops[topic_of(holder.room, holder.name)] = number
                raise SessionEndedError(f"session {holder.member} ended during the claim")
            session.agreed_names = {**(session.agreed_names or {}), holder.name: number}
            return number

    async def _claim_once(self, consensus: Consensus, claimant: NameHolder, *, preempt: bool) -> int:
        topic = topic_of(claimant.room, claimant.name)
        decision = await consensus.read(topic)
        current = None
        if decision is not None:
            current = NameHold(agreed_names.decode_holder(decision.value), decision.version)
        holder_dead = current is not None and self._is_holder_dead(current.holder)
        outcome = agreed_names.decide_claim(
            current, claimant.member, holder_dead=holder_dead, preempt=preempt
        )
        if isinstance(outcome, AlreadyOwner):
            return outcome.number
        if isinstance(outcome, OwnedByOther):
            claimed_name = f"{claimant.name!r} in {claimant.room!r}"
            raise NameHeldError(f"{outcome.holder.member} holds {claimed_name} by token {outcome.number}")
        value = agreed_names.encode_holder(claimant)
        decided = await consensus.decide(topic, value, self._settings.hold_ms, outcome.if_number)
        return decided.version

    def _is_holder_dead(self, holder: NameHolder) -> bool:
        environment = self._environment
        if holder.gateway == environment.name:
            return holder.incarnation != environment.incarnation or holder.member not in self._rooms.sessions
        return is_incarnation_over(
            holder.gateway,
            holder.incarnation,
            environment.other_gateways(),
            environment.clock_ms(),
            self._rooms.settings.gone_ms,
        )

    def release(self, session: Session, name: str) -> bool:
        """Release a session's name; return whether the session held it."""
        number = (session.agreed_names or {}).pop(name, None)
        if number is None:
            return False
        self.give_up(session.room, name, number)
        return True

    def give_up(self, room: str, name: str, number: int) -> None:
        """Schedule the drop of a name; it has no effect if the decision `number` has been superseded."""
        self._pending_drops[topic_of(room, name)] = number

    # --- decisions received

    def on_decision(self, decision: Decision) -> None:
        """Apply a decision: record a name's new holder, and fence the former one; ignore other topics."""
        if not decision.topic.startswith(agreed_names.TOPIC_PREFIX):
            return
        before = self._holds.get(decision.topic)
        if before is not None and before.number >= decision.version:
            return
        try:
            holder = agreed_names.decode_holder(decision.value)
        except PresenceFrameError:
            self.rejected += 1  # written by a newer version, so no session here can have claimed it
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

    # --- dropping stale names

    def drop_abandoned(self) -> None:
        """Schedule the drop of names whose holders are gone: own ended sessions, or on dead gateways."""
        if not self._holds:
            return
        for topic, hold in list(self._holds.items()):
            if topic in self._pending_drops or (topic, hold.holder.member) in self._claiming:
                continue
            if not isinstance(self._environment.cached_decision(topic), Decision):
                continue  # not valid any more: it has been dropped already
            if self._should_drop(hold):
                self._pending_drops[topic] = hold.number

    def _should_drop(self, hold: NameHold) -> bool:
        environment, holder = self._environment, hold.holder
        if (holder.gateway, holder.incarnation) == (environment.name, environment.incarnation):
            session = self._rooms.sessions.get(holder.member)
            return session is None or (session.agreed_names or {}).get(holder.name) != hold.number
        if not self._is_holder_dead(holder):
            return False
        # Only the alive gateway with the lowest name drops it.  A second drop would be harmless, because a
        # drop names the number of the decision.
        others = environment.other_gateways()
        alive = [gateway.name for gateway in others if gateway.state is GatewayState.ALIVE]
        return environment.name < min(alive, default=AFTER_ALL_NAMES)

    async def run_dropping(self) -> None:
        """Drop the scheduled names through the consensus, one after another, until cancelled."""
        while True:
            await anyio.sleep(self._settings.tell_ms / 1000)
            consensus = self._environment.consensus()
            if consensus is None or not self._pending_drops:
                await anyio.sleep(self._settings.beat_ms / 2000)
                continue
            topic, number = next(iter(self._pending_drops.items()))
            try:
                await consensus.drop(topic, number)
            except DecisionConflictError:
                pass  # superseded by a newer decision, which is not to be dropped
            except CressrockError:
                # No leader or no majority: retry the same topic after a delay.
                await anyio.sleep(self._settings.beat_ms / 1000)
                continue
            self._forget_dropped(topic, number)

    def _forget_dropped(self, topic: str, number: int) -> None:
        if self._pending_drops.get(topic) == number:
            del self._pending_drops[topic]
        current = self._holds.get(topic)
        if current is not None and current.number == number:
            del self._holds[topic]
