"""SWIM's probes: ping one member after another, ask others to ping who does not answer, then suspect."""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.membership.member_table import MemberRecord
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import MemberState
from cressrock.membership.state import MembershipState
from cressrock.membership.timers import TimerKind
from cressrock.membership.transitions import StateTransitions

CANDIDATES_PER_HELPER = 3  # drawn for each helper, as suspected ones are passed over


@dataclass(slots=True)
class _Probe:
    """A probe without an answer so far, of a member as it was then."""

    name: str
    process_incarnation: int
    incarnation: int
    helpers: int = 0
    nacks: int = 0


class Prober:
    """Probes at the pace of this process's health, and accuses who answers nobody."""

    def __init__(self, state: MembershipState, outbox: Outbox, transitions: StateTransitions) -> None:
        """Begin without open probes."""
        self._state = state
        self._settings = state.settings
        self._outbox = outbox
        self._transitions = transitions
        self._probes: dict[int, _Probe] = {}

    def __len__(self) -> int:
        """Return how many probes are open."""
        return len(self._probes)

    def start_next(self, now_ms: float) -> None:
        """Probe the next member in order, and schedule the one after it."""
        settings, state = self._settings, self._state
        slowed_period_ms = settings.protocol_period_ms * state.health.probe_multiplier
        schedule = state.timers.schedule
        interval_ms = settings.protocol_period_ms / settings.probes_per_period
        schedule(now_ms + interval_ms * state.health.probe_multiplier, TimerKind.PROBE)
        name = state.table.probe_order.next_name(state.table.live)
        if name is None or len(self._probes) >= settings.max_members:
            return
        number, record = self._outbox.next_number(), state.table.records[name]
        self._probes[number] = _Probe(name, record.process_incarnation, record.incarnation)
        self._outbox.send_ping(name, state.table.address_of(name), number)
        timeout_ms = settings.protocol_period_ms * settings.ping_timeout_fraction
        schedule(now_ms + timeout_ms * state.health.probe_multiplier, TimerKind.INDIRECT_PROBE, number=number)
        schedule(now_ms + slowed_period_ms, TimerKind.PROBE_DEADLINE, number=number)

    def probe_indirectly(self, number: int) -> None:
        """Ping a member that did not answer once more, and ask helpers to ping it."""
        table = self._state.table
        probe = self._probes.get(number)
        if probe is None or probe.name not in table.live:
            return
        address = table.address_of(probe.name)
        self._outbox.send_ping(probe.name, address, number)  # one lost datagram is no sign
        max_helpers = self._settings.indirect_probes
        candidates = table.live.sample(self._state.rng, max_helpers * CANDIDATES_PER_HELPER, (probe.name,))
        # Of suspected members no answer is expected: a partition must not read as bad health of one's own.
        alive = [name for name in candidates if table.records[name].state is MemberState.ALIVE]
        helpers = alive[:max_helpers]
        for helper in helpers:
            self._outbox.send_ping_request(helper, number, probe.name, address)
        probe.helpers = len(helpers)

    def receive_ack(self, number: int) -> bool:
        """Close the probe that is answered; False if the number is none of an open probe."""
        if self._probes.pop(number, None) is None:
            return False
        self._state.health.adjust(-1)
        return True

    def receive_nack(self, number: int) -> None:
        """Count a helper that lives but had no answer."""
        probe = self._probes.get(number)
        if probe is not None:
            probe.nacks += 1

    def conclude(self, now_ms: float, number: int) -> None:
        """Accuse the member of a probe that nobody answered."""
        probe = self._probes.pop(number, None)
        if probe is None:
            return
        # Lifeguard: helpers that did not even say no make a fault on this side as likely.
        self._state.health.adjust(probe.helpers - probe.nacks if probe.helpers else 1)
        record = self._state.table.records.get(probe.name)
        if record is None or not self._transitions.may_accuse(now_ms) or _has_changed(record, probe):
            return
        accuser = self._state.local.name
        if record.state is MemberState.ALIVE:
            self._transitions.suspect(now_ms, record, record.incarnation, accuser)
        elif record.state is MemberState.SUSPECT:
            self._transitions.confirm(now_ms, record, accuser)

    def abandon_all(self) -> None:
        """Drop the open probes: this process did not run, and their answers may be lost."""
        self._probes.clear()


def _has_changed(record: MemberRecord, probe: _Probe) -> bool:
    """Whether the member restarted or refuted since: what was asked before is no evidence any more."""
    return record.process_incarnation != probe.process_incarnation or record.incarnation != probe.incarnation
