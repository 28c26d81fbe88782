"""All decisions of a cressrock host; its settings, events and actions are in cressrock/interface.py.

Ordinary path (SFQ(D) with ASFQ's compensation): for each shard's node, volumes wait in queues of their
own; the head with the lowest start tag (units over plan weight) plus compensation leaves while fewer
than D requests are out.  Departures from it, and when each acts, are listed in docs/design.md.
The module is pure: time comes in with each batch, nothing is read, randomness comes from the seed.
"""

from __future__ import annotations

import heapq
import random
from collections import deque

from cressrock.interface import (
    Action,
    Arrival,
    AttemptEnded,
    Cancel,
    ClientLeft,
    DeduplicationScope,
    Event,
    Fail,
    Idempotency,
    LimitLease,
    ListKind,
    Log,
    Node,
    NodeList,
    NodeState,
    Outcome,
    Reject,
    RetryBudgetUsage,
    Send,
    SetTimer,
    Settings,
    Subscribe,
)

DEPTH = 10.0  # the paper's D: the start of all hosts' together at a node, and what D under one divides by
WIDEST = 64.0  # the bound of one host's D: nodes of many cores, or a long way off, want more than ten out
PERIOD_MS = 100.0  # the paper's period of the compensation
BEAT = 0.2  # of a period: how often waiting work is looked at again when no event does it
EPSILON = 2.0  # usual requests: a smaller gap between two volumes is noise
FADE = 0.5  # what a period without unfairness leaves of a compensation
LAG_TARGET = 0.04  # of a class's aim: the wait, beyond an uncrowded answer, that D above one steers to
ROOM = 0.7  # of an uncrowded answer: a wait that its own spread explains; of a host alone twice that
QUIET = 0.5  # of that room: under such a wait a node counts as idle
CROWDED = 0.35  # of the aim: only where the wait is longer D falls under one
GUARDED = 0.12  # of the aim: where the wait is longer only what is inside a reserve leaves
MEMORY = 0.02  # weight of the newest answer in what a unit costs at a node, once there were many
TRIED = 3  # answers to requests that were out alone, by which a wide D is put to the test
TRIAL_MS = 10000.0  # between such tests
RELEARN_MS = 30000.0  # in which an uncrowded answer time nears what a node shows at a D of one
SMOOTH = 0.3  # weight of the newest answer in a node's smoothed times
LOST = 10.0  # times the answer expected of its class: an overtaken attempt out for longer is taken as lost
SURELY = 4.0  # the same where what was so taken never answered
UNLIKE = 0.8  # by which one such end moves that multiple; an answer after all moves it back
UNHEARD = 0.965  # what a period with nothing out leaves of a node's smoothed times
WIDEN = 0.25  # added to D by a round of answers within the target while D is in use
NARROW = 0.7  # what is left of D after a round of answers over the target
GIVE_UP = 0.25  # of a request's time: what was never sent by then, and is past its aim, is refused
HALF = 0.45  # the same whatever its aim: well before half, while its client can come back
RESERVE_COST = 0.1  # of a unit's cost in tags while it lies inside the volume's reserve
COLD_DRAWN = 0.5  # of what a cold node bears: what lots drawn by many hosts give it in the mean
LOG_LINES = 100  # for a whole life

NEVER_RAN = (Outcome.FULL, Outcome.NO_CONNECTION, Outcome.ABANDONED)
MAY_STILL_RUN = (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED)
FOREVER = float("inf")


class _Request:
    """A request from its arrival until it has its final answer and no attempt out."""

    __slots__ = (
        "arrival",
        "cls",
        "volume",
        "lane",
        "clock",
        "aim_at",
        "end_at",
        "attempts",
        "node",
        "sent_at",
        "ran",
        "ended",
        "drawn",
        "due",
        "taken_at",
    )

    def __init__(self, arrival: Arrival, volume: _Volume, now: float) -> None:
        self.arrival = arrival
        self.volume = volume
        self.lane: _Lane | None = None
        self.taken_at = now
        self.clock = 0.0  # the lane's virtual time when it joined
        self.end_at = now + arrival.remaining_ms
        self.attempts = arrival.earlier_attempts
        self.node: _Node | None = None  # where an attempt is out
        self.ran: tuple[float, Node] | None = None  # first attempt that may have run
        self.ended = False
        self.drawn = False  # the limit has paid for it
        self.due = 0.0  # units of the attempt that is out, which may arrive yet


class _Volume:
    """What one volume has used of its reserve and its limit at this host."""

    def __init__(self, since: float) -> None:
        # What a former life spent of the limit, and just before its end, is unknown: begin empty.
        self.at = since
        self.writers = 1
        self.reserve = self.limit = 0.0
        self.due = 0.0  # units sent that the limit's store may not have seen yet
        self.lent: list[tuple[float, float]] = []  # heap of (until, units), what ends first is spent first


class _Flow:
    """One volume's queue at one lane, with its tags."""

    def __init__(self) -> None:
        self.waiting: list[_Request] = []
        self.finish = self.reserve_finish = 0.0
        self.compensation = self.served = 0.0


class _Node:
    """A node as its answers show it: window D, answer times, and what is out there."""

    def __init__(self, depth: float, lot: float) -> None:
        self.line: Node | None = None
        self.depth = depth
        self.lag = 0.0  # smoothed answer time
        self.ratio = 0.0  # of the class's aim: smoothed answer time beyond the uncrowded one
        self.target = LAG_TARGET  # of the aim: the wait that D steers to
        self.seen = 0.0  # answers that taught, at most 1 / MEMORY of them
        self.units = self.mean = self.var = self.cov = 0.0  # of their units and answer times
        self.slope = 0.0  # answer time of a further unit
        self.rest = 0.0  # smoothed answer time of the mean units
        self.base = 0.0  # the same where nothing waits
        self.learnt_at = 0.0
        self.wide = 0.0  # D to return to after the test that goes on; 0: none does
        self.trial_at = 0.0  # when it began, or the next one is due
        self.alone: list[float] = []  # levels of its answers
        self.out: dict[str, _Request] = {}
        self.strays: dict[str, _Request] = {}  # out, but taken as lost: hold no slot
        self.overtaken = 0.0  # sending time of the latest attempt that was answered
        self.closed_until = self.backoff = 0.0
        self.heard = 0.0  # when it last answered
        self.last_sent = 0.0
        self.lot = lot  # this host's, from 0 to 1, where only some of many may send while it is cold
        self.drawn = 1.0  # part of the hosts that may
        self.recent: deque[tuple[float, float]] = deque()  # (time, units) sent within the cold window


class _Lane:
    """A shard's queues, virtual clock and present node."""

    def __init__(self) -> None:
        self.flows: dict[str, _Flow] = {}
        self.late: list[_Request] = []  # these can no longer make their aim
        self.node: _Node | None = None
        self.asked = 0.0  # units that came and wait here no longer
        self.start = self.finish = 0.0  # highest start and finish tags sent
        self.waiting = 0


class _Turn:
    """Requests on one key that have to run one at a time."""

    def __init__(self) -> None:
        self.queue: list[_Request] = []
        self.rest_until = 0.0


class Scheduler:
    """One host's decisions: hand it each batch's events in order, carry out the actions it returns."""

    def __init__(self, settings: Settings, seed: int, now_ms: float) -> None:
        """Start with nothing known; the first node list comes as an event."""
        self.set = settings
        self.now = self.born = now_ms
        self.random = random.Random(seed)
        self.actions: list[Action] = []
        self.requests: dict[str, _Request] = {}
        self.volumes: dict[str, _Volume] = {}
        self.nodes: dict[str, _Node] = {}
        self.lanes: dict[int, _Lane] = {}
        # Those with something out, waiting or fading: an event's work does not grow with the fleet.
        self.live_nodes: dict[str, _Node] = {}
        self.live_lanes: dict[int, _Lane] = {}
        self.turns: dict[str, _Turn] = {}
        self.expiry: list[tuple[float, int, _Request]] = []
        self.count = 0
        self.longest = [0.0 for _ in settings.classes]
        self.units_taken = 0.0
        self.taken: deque[float] = deque()
        # What a former life tried again just before its end is unknown: take the free attempts as spent.
        spent = -int(-settings.budget_free // 1) if settings.budget_begins_spent else 0  # rounded up
        self.extra: deque[float] = deque([now_ms] * spent)
        self.armed = FOREVER
        self.period_end = now_ms + PERIOD_MS
        self.ask_at = now_ms if settings.must_ask else FOREVER
        self.ask_wait = 0.0
        self.logged = 0
        self.lost = LOST
        # Many hosts find out apart from each other that a queue grows; one alone knows all that is out.
        self.room = ROOM * (1 + 1 / settings.hosts)
        # What lies beyond a reserve waits the sooner the less it earns; where it earns the same, never.
        less = 1 - settings.share_worth if any(plan.reserve for plan in settings.plans) else 0.0
        self.gate = GUARDED / less if less > 0 else FOREVER
        self.aim = min(c.latency_objective_ms for c in settings.classes)

    def act(self, now_ms: float, events: list[Event]) -> list[Action]:
        """Take in a batch's events, then send what may leave, answer what is due and set the timer."""
        self.now = now_ms
        self.actions = []
        for event in events:
            if isinstance(event, Arrival):
                self._arrive(event)
            elif isinstance(event, AttemptEnded):
                self._outcome(event)
            elif isinstance(event, NodeList):
                self._list(event)
            elif isinstance(event, ClientLeft):
                self._client_left(event)
            elif isinstance(event, LimitLease):
                volume = self.volumes.setdefault(event.volume, _Volume(self.born))
                heapq.heappush(volume.lent, (event.expires_at_ms, event.units))
                volume.limit += event.units
            elif isinstance(event, RetryBudgetUsage):
                self.extra = deque(sorted((*self.extra, *event.retried_at_ms)))
                self.taken = deque(sorted((*self.taken, *event.arrived_at_ms)))
        self._expire()
        if now_ms >= self.period_end:
            self._compensate()
        if now_ms >= self.ask_at:
            self._ask()
        for node in self.live_nodes.values():
            if node.out:
                self._strays(node)
        for lane in self.live_lanes.values():
            if lane.waiting and lane.node is not None:
                self._dispatch(lane, lane.node)
        self._arm()
        return self.actions

    def widen(self, settings: Settings) -> None:
        """Go on by longer tables of classes and plans; what is held keeps its numbers, all else stays."""
        self.set = settings
        self.longest += [0.0] * (len(settings.classes) - len(self.longest))

    # --- arrivals, answers and ends

    def _arrive(self, event: Arrival) -> None:
        now = self.now
        volume = self.volumes.get(event.volume)
        if volume is None:
            volume = self.volumes[event.volume] = _Volume(self.born)
            volume.reserve = self.set.plans[event.plan].reserve / max(1, event.sharing_hosts)
        volume.writers = max(volume.writers, event.sharing_hosts)
        index, left = event.request_class, event.remaining_ms
        cls = self.set.classes[index]
        request = _Request(event, volume, now)
        self.units_taken += event.units
        request.cls = cls
        # The part of its deadline that a client's later try lacks is time its user has waited already.
        # Danger: impatient clients come with less than the aim; these are fresh, worth all until they leave.
        longest = self.longest[index] = max(self.longest[index], left)
        waited = longest - left if left > cls.latency_objective_ms else 0.0
        if event.waited_ms >= 0:
            waited = event.waited_ms
        request.aim_at = now + min(left, cls.latency_objective_ms - waited)
        self.requests[event.request] = request
        if self.set.budget_window_ms and not event.counted_in_budget:
            self.taken.append(now)
            self._in_budget()  # forgets what the window has passed
        if cls.ordered and event.key:
            self.turns.setdefault(event.key, _Turn()).queue.append(request)
        self._watch(request)
        self._place(request)

    def _watch(self, request: _Request, at: float = 0.0) -> None:
        """Every request is on the expiry heap while it is held: none can be left without an answer."""
        self.count += 1
        heapq.heappush(self.expiry, (at or self._due(request), self.count, request))

    def _due(self, request: _Request) -> float:
        """When to look at a request: at its part of the time while unsent, else just before its end."""
        last = request.end_at - 2 * self.set.tick_ms
        if not request.attempts:
            left, aim = request.arrival.remaining_ms, request.aim_at - request.taken_at
            return min(last, request.taken_at + max(GIVE_UP * left, min(aim, HALF * left)))
        return last if request.node is None or self.now < last else request.end_at

    def _place(self, request: _Request) -> None:
        """Queue a request at its data's lane, a new object where the least delay is expected."""
        shard = request.arrival.shard
        if request.ran is not None:
            shard = request.ran[1].shard
        if shard < 0:
            shard = self._best_shard()
        lane = self.lanes.setdefault(shard, _Lane())
        flow = lane.flows.setdefault(request.arrival.volume, _Flow())
        request.lane = lane
        request.clock = lane.start if lane.node and lane.node.out else lane.finish
        flow.waiting.append(request)
        lane.waiting += 1
        self.live_lanes[shard] = lane

    def _best_shard(self) -> int:
        """Choose the least expected delay among the nodes that are warm and not on trial, else any.

        Danger: a node nobody knows yet would look best to hundreds of hosts at once, which bury it; it
        counts as one like the others.
        """
        ready = [(shard, lane, lane.node) for shard, lane in self.lanes.items() if lane.node is not None]
        good = [r for r in ready if self.now >= r[2].closed_until and self._cold_room(r[2]) == FOREVER]
        known = [node.lag for _, _, node in ready if node.lag]
        usual = sum(known) / len(known) if known else 0.0
        best, lowest = -1, FOREVER
        for shard, lane, node in good or ready:
            delay = (self._delay(node) or usual) * (1 + (lane.waiting + len(node.out)) / node.depth)
            delay += self.random.random()  # ms: spreads equal nodes
            if delay < lowest:
                best, lowest = shard, delay
        return best

    def _delay(self, node: _Node) -> float:
        """Expected answer time; an attempt that is out for longer than usual tells of a hang at once."""
        oldest = next(iter(node.out.values()), None)
        return max(node.lag, self.now - oldest.sent_at if oldest else 0.0)

    def _leave(self, request: _Request) -> None:
        """Take a waiting request out of its lane."""
        lane = request.lane
        if lane is None:
            return
        request.lane = None
        lane.waiting -= 1
        lane.asked += request.arrival.units
        flow = lane.flows[request.arrival.volume]
        (flow.waiting if request in flow.waiting else lane.late).remove(request)

    def _outcome(self, event: AttemptEnded) -> None:
        request = self.requests.get(event.request)
        if request is None or request.node is None or event.attempt != request.attempts - 1:
            return
        now, node, outcome = self.now, request.node, event.outcome
        node.recent.append((now, request.arrival.units))
        request.node = None
        if node.out.pop(event.request, None) is None:
            del node.strays[event.request]
            if outcome is Outcome.TIMEOUT:
                self.lost = max(SURELY, self.lost * UNLIKE)
            elif outcome in (Outcome.OK, Outcome.ERROR):
                self.lost = min(LOST, self.lost / UNLIKE)
        self._health(node, request, outcome, event.latency_ms)
        if outcome in MAY_STILL_RUN and request.cls.ordered and request.arrival.key in self.turns:
            self.turns[request.arrival.key].rest_until = now + self.set.order_settle_ms
        if outcome not in NEVER_RAN and request.ran is None:
            request.ran = (request.sent_at, node.line)
        lane = self.lanes.get(node.line.shard)
        if lane is not None:
            self.live_lanes[node.line.shard] = lane
            flow = lane.flows.setdefault(request.arrival.volume, _Flow())
            flow.served += event.units_elsewhere + (request.arrival.units if outcome is Outcome.OK else 0)
        self._settle(request, event.charged)
        if event.settled or request.ended or outcome is Outcome.OK:
            request.ended = True
            self._forget(request)
        elif not self._may_try(request):
            self._end(request)
        else:
            if request.ran is not None and request.cls.idempotency is Idempotency.KEYED:
                window = request.ran[0] + request.cls.deduplication_window_ms
                if window < request.end_at:
                    request.end_at = window
                    self._watch(request)
            self._place(request)

    def _may_try(self, request: _Request) -> bool:
        """Whether a further attempt can be lawful at all; when and where is looked at when it leaves."""
        if request.attempts >= self.set.max_attempts or self.now >= request.end_at - 2 * self.set.tick_ms:
            return False
        if request.ran is None or request.cls.idempotency is Idempotency.ALWAYS:
            return True
        return request.cls.idempotency is Idempotency.KEYED and (
            self.now < request.ran[0] + request.cls.deduplication_window_ms - 2 * self.set.tick_ms
        )

    def _may_refuse(self, request: _Request) -> bool:
        """A refusal promises that a new try is harmless: only where nothing ran, or repeats are dropped."""
        if request.cls.idempotency is Idempotency.ALWAYS or (request.ran is None and request.node is None):
            return True
        return (
            request.cls.idempotency is Idempotency.KEYED
            and request.cls.deduplication_scope is DeduplicationScope.ALL
        )

    def _end(self, request: _Request) -> None:
        """Give the final answer."""
        name, away = request.arrival.request, self._away(request)
        self._leave(request)
        request.ended = True
        self.actions.append(Reject(name, away) if self._may_refuse(request) else Fail(name))
        self._forget(request)

    def _away(self, request: _Request) -> float:
        """How long until what waits should be gone and the limit have room: what a refused client is told."""
        lane, plan = request.lane, self.set.plans[request.arrival.plan]
        if lane is None or lane.node is None:
            return 0.0
        away = lane.waiting * self._delay(lane.node) / lane.node.depth
        if plan.limit_rate and not request.drawn:
            self._refill(request)
            lacks = request.arrival.units - request.volume.limit
            away = max(away, lacks * 1000 * request.volume.writers / plan.limit_rate)
        return min(self.set.advice_max_ms, max(PERIOD_MS, away))

    def _client_left(self, event: ClientLeft) -> None:
        request = self.requests.get(event.request)
        if request is not None and not request.ended:
            self._leave(request)
            request.ended = True
            if request.node is not None and self.set.may_cancel:
                # Nobody waits for it: a node that drops what still queues is spared the work.
                self.actions.append(Cancel(event.request, request.attempts - 1))
            self._forget(request)

    def _forget(self, request: _Request) -> None:
        """Drop a request that is over; one with an attempt out stays until its outcome is in."""
        if request.node is not None:
            return
        self.requests.pop(request.arrival.request, None)
        turn = self.turns.get(request.arrival.key) if request.cls.ordered else None
        if turn is not None and request in turn.queue:
            turn.queue.remove(request)

    def _expire(self) -> None:
        """Answer, just before its time is up, what waits; what is out gets until the very end."""
        while self.expiry and self.expiry[0][0] <= self.now:
            _, _, request = heapq.heappop(self.expiry)
            if request.ended:
                continue
            if self.now < (due := self._due(request)):
                self._watch(request, due)
            else:
                self._end(request)

    # --- the node list and the nodes' health

    def _list(self, event: NodeList) -> None:
        if event.kind is ListKind.FAILED:
            # Back off from a list service in trouble, apart from the other hosts, but keep asking.
            longest = self.set.ask_every_ms / 2 or 10 * PERIOD_MS
            self.ask_wait = min(max(2 * self.ask_wait, 2 * PERIOD_MS), longest)
            self.ask_at = self.now + self.ask_wait * (0.5 + self.random.random())
            return
        if self.set.must_ask and event.kind is not ListKind.CACHED:
            self.ask_wait, self.ask_at = 0.0, FOREVER
        listed = {line.name: line for line in event.nodes}
        if event.kind is not ListKind.CHANGES:
            for name in [n for n in self.nodes if n not in listed]:
                old = self.nodes[name].line
                self.nodes[name].line = Node(name, old.shard, old.zone, old.started_at_ms, NodeState.GONE)
        for name, line in listed.items():
            node = self.nodes.setdefault(name, _Node(max(1.0, DEPTH / self.set.hosts), self.random.random()))
            if node.line is not None and node.line.started_at_ms != line.started_at_ms:
                # A restarted process has forgotten its jam: its trial ends, D starts low.
                node.closed_until, node.backoff, node.depth, node.lot = 0.0, 0.0, 1.0, self.random.random()
                node.seen = node.wide = 0.0
            node.line = line
        self._assign()

    def _assign(self) -> None:
        """Give each lane its ready node, the one that came up last; move new objects that wait for none."""
        for name, node in list(self.nodes.items()):
            if node.line.state is NodeState.GONE and not (node.out or node.strays):
                del self.nodes[name]
                self.live_nodes.pop(name, None)
        for lane in self.lanes.values():
            lane.node = None
        for node in self.nodes.values():
            if node.line.state is NodeState.READY:
                lane = self.lanes.setdefault(node.line.shard, _Lane())
                if lane.node is None or node.line.started_at_ms > lane.node.line.started_at_ms:
                    lane.node = node
        for lane in list(self.lanes.values()):
            if lane.node is None and lane.waiting:
                waiting = [r for f in lane.flows.values() for r in f.waiting] + lane.late
                for request in waiting:
                    if request.arrival.shard < 0 and request.ran is None:
                        self._leave(request)
                        self._place(request)

    def _ask(self) -> None:
        self.actions.append(Subscribe())
        self.ask_at = self.now + (self.set.ask_every_ms / 2 or 10 * PERIOD_MS)

    def _health(self, node: _Node, request: _Request, outcome: Outcome, lag: float) -> None:
        """Steer D by the answers, and by what fails how soon a closed node is tried again."""
        now = self.now
        easy = self._uncrowded(node, request.arrival.units)
        ratio = max(0.0, lag - easy) / request.cls.latency_objective_ms if node.seen else 0.0
        answered = outcome in (Outcome.OK, Outcome.ERROR)
        if answered:
            node.backoff, node.closed_until, node.heard = 0.0, 0.0, now
            node.overtaken = max(node.overtaken, request.sent_at)
        # Danger: clients that leave early take the slow answers with them, so a jam looks like a healthy
        # node.  An attempt that ended unanswered after what would be long for an answer missed its aim.  By
        # how much an aim was missed says nothing, but would keep the node from being tried again for longer.
        # What later attempts overtook was lost on the way, which is no sign of a jam.
        missed = outcome in MAY_STILL_RUN and request.sent_at >= node.overtaken
        long = max(LAG_TARGET * request.cls.latency_objective_ms, QUIET * easy) if node.seen else self.aim / 4
        missed = missed and lag - easy > long
        if outcome is Outcome.OK:
            self._learn(node, request.arrival.units, lag)
        if missed or ratio > 1:
            lag, ratio = request.cls.latency_objective_ms, 1.0
        if answered or missed:
            # Over a round of answers: with many out single ones say little.
            weight = min(SMOOTH, 1 / node.depth) if node.lag else 1.0
            node.lag += weight * (lag - node.lag)
            node.ratio += weight * (ratio - node.ratio)
            node.target += weight * (
                max(LAG_TARGET, self.room * easy / request.cls.latency_objective_ms) - node.target
            )
            # Over the target D falls to one, and under one only where the node is clearly crowded.
            floor = 1.0 if node.ratio <= CROWDED else 1.0 / DEPTH
            if node.wide:
                pass
            elif min(ratio, node.ratio) > node.target and node.depth > floor:
                node.depth = max(floor, node.depth * NARROW ** (1 / max(1.0, node.depth)))
            elif (node.depth < floor or node.ratio <= node.target) and len(node.out) + 1 >= int(node.depth):
                node.depth = min(WIDEST, node.depth + WIDEN * min(node.depth, 1 / node.depth))
        if answered:
            return
        if outcome is Outcome.FULL:
            node.wide = 0.0
            # Danger: hundreds of hosts that each knock again after a moment keep a full queue full.
            node.depth = max(min(1.0, node.depth), node.depth / 2)
            node.backoff = min(max(2 * node.backoff, node.lag, BEAT * PERIOD_MS), 4 * self.aim)
            node.closed_until = now + node.backoff * (0.5 + self.random.random())
        elif outcome is Outcome.NO_CONNECTION or (
            outcome is Outcome.TIMEOUT and node.heard < request.sent_at
        ):
            # Hung, gone or refusing: one real request at a time tries it, at growing intervals.  A time-out
            # while the node answers later attempts only means that the request was sent too late.
            if not node.backoff:
                self._log(f"node {node.line.name}: {outcome.value}, now on trial")
            node.wide = 0.0
            node.depth = 1.0  # the rests alone hold back: a lost answer must not throttle a sound node
            node.backoff = min(max(2 * node.backoff, PERIOD_MS), 4 * self.aim)
            node.closed_until = now + node.backoff

    def _learn(self, node: _Node, units: float, lag: float) -> None:
        """Learn what an uncrowded answer takes: its growth with units, and its level at the mean units.

        A queue delays large and small alike, so the slope of answer times over units is free of it.  The
        level is the lowest smoothed one; it rises, slowly, only while D is at its floor: a D above one
        that could raise it would make the queue that it then takes for granted.  A host that has a node
        alone and had nothing else out there knows at once.
        """
        node.seen = min(node.seen + 1, 1 / MEMORY)
        weight = 1 / node.seen
        more, over = units - node.units, lag - node.mean
        node.units += weight * more
        node.mean += weight * over
        node.var = (1 - weight) * (node.var + weight * more * more)
        node.cov = (1 - weight) * (node.cov + weight * more * over)
        level = lag - node.slope * (units - node.units)
        node.rest += max(min(SMOOTH, 1 / node.depth), weight) * (level - node.rest)
        since, node.learnt_at = self.now - node.learnt_at if node.seen > 1 else 0.0, self.now
        # Danger: first answers may come out of a jam.  Believed as they are, they would keep all work away.
        few = weight > SMOOTH / 2 and units <= node.units  # of a large one the unsure slope takes too much
        lowest = min(level, node.rest) if few else node.rest
        if node.seen == 1:
            node.base = min(level, self.aim / 2)
        elif lowest < node.base:
            node.base = lowest
        elif self.set.hosts == 1 and not node.out and not node.strays:
            node.base += SMOOTH * (node.rest - node.base)
        elif node.depth <= 1:
            node.base += min(1.0, since / RELEARN_MS) * (node.rest - node.base)
        if node.wide and self.now - lag >= node.trial_at:
            node.alone.append(level)
            if len(node.alone) >= TRIED:
                node.base = max(node.base, min(node.alone))
                node.depth, node.wide, node.trial_at = node.wide, 0.0, self.now + TRIAL_MS
        elif node.depth >= TRIED and self.now >= node.trial_at and not node.wide:
            # Danger: a base too low, of repeats or chance, would keep D narrow; risen under the own queue it
            # would widen D for ever.  So D above one is put back, for a few answers, now and then.
            node.wide, node.depth, node.trial_at, node.alone = node.depth, 1.0, self.now, []
        if not node.units:
            return
        # Few answers are read as a cost that is all by units; nothing costs less than nothing.
        share, doubt = node.base / node.units, (weight * node.units) ** 2
        node.slope = min(share, max(0.0, (node.cov + doubt * share) / (node.var + doubt)))

    @staticmethod
    def _uncrowded(node: _Node, units: float) -> float:
        """Answer time of so many units where nothing waits."""
        return node.base + node.slope * (units - node.units)

    def _expected(self, node: _Node, request: _Request) -> float:
        """Answer time to expect of a request at a node."""
        wait = (node.ratio or LAG_TARGET) * request.cls.latency_objective_ms
        return max(node.lag if not node.seen else 0.0, self._uncrowded(node, request.arrival.units) + wait)

    def _strays(self, node: _Node) -> None:
        """Free the slots of attempts whose answer seems lost, and try again what can make its aim yet.

        Danger: a few answers in a hundred lost on the way hold every slot until the deadline.  Only what
        later ones overtook counts, never a pause or a jam.  Harms where a node holds one request for long.
        """
        for name, request in list(node.out.items()):
            if request.sent_at >= node.overtaken:
                break
            expected = self._expected(node, request)
            if self.now - request.sent_at > self.lost * expected:
                node.strays[name] = node.out.pop(name)
                again = (
                    request.cls.idempotency is not Idempotency.NEVER
                    and request.attempts < self.set.max_attempts
                )
                if again and self.set.may_cancel and not request.ended:
                    if self.now + expected < request.aim_at and self._in_budget():
                        self.actions.append(Cancel(name, request.attempts - 1))

    def _log(self, text: str) -> None:
        if self.logged < LOG_LINES:
            self.logged += 1
            self.actions.append(Log(text))

    # --- the ordinary path: tags, D and compensation

    def _room(self, node: _Node) -> bool:
        """Whether fewer than D are out; what timed out may still run, but the node rests with it."""
        if self.now < node.closed_until or len(node.out) >= WIDEST or len(node.strays) >= DEPTH:
            return False
        if not node.out:
            # Danger: one each from hundreds of hosts is a jam.  D under one is a rest between sends.
            return node.depth >= 1 or self.now >= node.last_sent + node.lag / node.depth
        oldest = next(iter(node.out.values()))
        # With every slot held by what may be lost nothing could overtake it: one more finds out.
        over = not node.backoff and self.now - oldest.sent_at > self.lost * self._expected(node, oldest)
        return len(node.out) < int(node.depth) + over

    def _dispatch(self, lane: _Lane, node: _Node) -> None:
        while lane.waiting and self._room(node):
            request = self._pick(lane, node, self._cold_room(node))
            if request is None:
                break
            self._send(lane, node, request)

    def _pick(self, lane: _Lane, node: _Node, room: float) -> _Request | None:
        """Choose the lowest tag plus compensation among the volumes' heads; late work only after these."""
        best: tuple[float, _Request] | None = None
        # A passed jam looks like a lasting one to whoever sends nothing.  All hosts together try with one.
        probe = not node.out and self.now >= node.last_sent + self.set.hosts * node.lag
        none, slope, ratio = self.now + self._uncrowded(node, 0.0), node.slope, node.ratio
        # With nothing but late work there, the flows need not be gone through at each turn.
        for flow in lane.flows.values() if lane.waiting > len(lane.late) else ():
            if not flow.waiting:
                continue
            late = [  # as in _late, which costs too much for each that waits
                r
                for r in flow.waiting
                if r.aim_at < none + slope * r.arrival.units + ratio * r.cls.latency_objective_ms
            ]
            for request in late:
                flow.waiting.remove(request)
                lane.late.append(request)
            head = self._first(flow.waiting, node, room)
            if head is None:
                continue
            # Danger: at a crowded node what earns a part stands before what earns all, and few hosts hold
            # both to put them in order.  With no reserve on any plan D alone decides.
            if node.ratio > self.gate and not probe and not self._reserved(head):
                continue
            tag = self._tags(flow, head)[0] + (0.0 if self._reserved(head) else flow.compensation)
            if best is None or tag < best[0]:
                best = (tag, head)
        if best is not None:
            return best[1]
        # Late work earns little and stands before what comes next: it leaves one slot free, and only where
        # next to nothing waits.
        held = len(node.out) + len(node.strays)
        if node.drawn < 1 or held >= max(1, int(node.depth) - 1):
            return None
        if node.ratio > QUIET * node.target and not probe:
            return None
        return self._first([r for r in lane.late if r.end_at > self.now + node.lag], node, room)

    def _late(self, node: _Node, request: _Request) -> bool:
        """Whether a request sent now would miss its aim."""
        wait = node.ratio * request.cls.latency_objective_ms
        return request.aim_at < self.now + self._uncrowded(node, request.arrival.units) + wait

    def _first(self, waiting: list[_Request], node: _Node, room: float) -> _Request | None:
        """Pick a volume's head: most worth first, then nearest aim, among those that may leave now."""
        head, least = None, (FOREVER, FOREVER)
        for request in waiting:
            rank = (-request.cls.priority_weight, request.aim_at)
            if rank < least and self._may_leave(request, node, room):
                head, least = request, rank
        return head

    def _reserved(self, request: _Request) -> bool:
        self._refill(request)
        return request.aim_at >= self.now and request.volume.reserve >= request.arrival.units

    def _tags(self, flow: _Flow, request: _Request) -> tuple[float, float]:
        """Start and finish tag; units inside the reserve run on a chain of their own at a lower cost."""
        cost = request.arrival.units / self.set.plans[request.arrival.plan].weight
        if self._reserved(request):
            start = max(request.clock, flow.reserve_finish)
            return start - cost, start + RESERVE_COST * cost
        start = max(request.clock, flow.finish)
        return start, start + cost

    def _send(self, lane: _Lane, node: _Node, request: _Request) -> None:
        now, units = self.now, request.arrival.units
        flow = lane.flows[request.arrival.volume]
        start, finish = self._tags(flow, request)
        if self._reserved(request):
            flow.reserve_finish = finish
            request.volume.reserve -= units
        else:
            flow.finish = finish
        lane.start = max(lane.start, start)
        lane.finish = max(lane.finish, finish)
        self._leave(request)
        if request.attempts and self.set.budget_window_ms:
            self.extra.append(now)
        if not request.drawn:
            request.volume.limit -= units
            request.volume.due += units
            request.drawn, request.due = True, units
            while request.volume.lent and units > 0:
                until, have = heapq.heappop(request.volume.lent)
                if have > units:
                    heapq.heappush(request.volume.lent, (until, have - units))
                units -= have
        request.attempts += 1
        request.node = node
        request.sent_at = node.last_sent = now
        node.out[request.arrival.request] = request
        self.live_nodes[node.line.name] = node
        self.actions.append(Send(request.arrival.request, node.line.name))

    def _compensate(self) -> None:
        """ASFQ's feedback: delay what was served beyond its weighted share while others wait."""
        self.period_end = self.now + PERIOD_MS
        for key in [k for k, t in self.turns.items() if not t.queue and t.rest_until <= self.now]:
            del self.turns[key]
        for name, node in list(self.live_nodes.items()):
            if not (node.out or node.strays) and node.ratio <= QUIET * node.target and node.lag < self.aim:
                del self.live_nodes[name]
            elif not (node.out or node.strays):
                # A bad figure keeps work away and so is never put right by an answer: let it fade.
                node.lag *= UNHEARD
                node.ratio *= UNHEARD
        epsilon = EPSILON * self.set.usual_units
        for shard, lane in list(self.live_lanes.items()):
            shares = {}
            for name, flow in lane.flows.items():
                if flow.waiting:
                    shares[name] = flow.served / self.set.plans[flow.waiting[0].arrival.plan].weight
            lowest = min(shares.values(), default=0.0)
            for name, flow in lane.flows.items():
                gap = 0.0
                if name in shares:
                    weight = self.set.plans[flow.waiting[0].arrival.plan].weight
                    gap = (shares[name] - lowest) * weight
                # The paper keeps a compensation for ever; it fades here, so a past surge stops hurting.
                kept = flow.compensation * FADE
                flow.compensation = gap if gap > epsilon else kept if kept > 1 else 0.0
                flow.served = 0.0
            if not lane.waiting and not any(flow.compensation for flow in lane.flows.values()):
                del self.live_lanes[shard]

    # --- guards: what a request needs besides its turn by tags

    def _may_leave(self, request: _Request, node: _Node, room: float) -> bool:
        units = request.arrival.units
        if units > room:
            return False
        plan = self.set.plans[request.arrival.plan]
        if plan.limit_rate and not request.drawn:
            self._refill(request)
            # Late work takes only what the limit has to spare: the next on time would lack it.
            most = self._most_limit(request)
            spare = max(0.0, min(most / 2, most - units)) if self._late(node, request) else 0.0
            if spare and self.set.limits_lent:  # no more is lent than what waits: is there any on time?
                flows = [x.flows.get(request.arrival.volume) for x in self.live_lanes.values()]
                spare = FOREVER if any(flow and flow.waiting for flow in flows) else 0.0
            if request.volume.limit < units + spare:
                return False
        if request.ran is not None and request.cls.idempotency is Idempotency.KEYED:
            home = request.ran[1]
            if request.cls.deduplication_scope is DeduplicationScope.SHARD and node.line.shard != home.shard:
                return False
            if request.cls.deduplication_scope is DeduplicationScope.ZONE and node.line.zone != home.zone:
                return False
        if request.attempts and not self._in_budget():
            return False
        if request.cls.ordered and request.arrival.key:
            turn = self.turns[request.arrival.key]
            return turn.queue[0] is request and (request.attempts > 0 or self.now >= turn.rest_until)
        return True

    def _refill(self, request: _Request) -> None:
        """Fill this host's even part of the volume's reserve and limit up to now."""
        volume = request.volume
        seconds = (self.now - volume.at) / 1000
        if not seconds:
            return
        volume.at = self.now
        plan = self.set.plans[request.arrival.plan]
        most = plan.reserve / volume.writers + self.set.most_units
        volume.reserve = min(most, volume.reserve + seconds * plan.reserve / volume.writers)
        if self.set.limits_lent:
            while volume.lent and volume.lent[0][0] <= self.now:
                heapq.heappop(volume.lent)
            volume.limit = min(volume.limit, sum(units for _, units in volume.lent))
            return
        gain = seconds * plan.limit_rate / volume.writers
        volume.limit = min(self._most_limit(request) - volume.due, volume.limit + gain)

    def _settle(self, request: _Request, reached: bool | None) -> None:
        """Book what became of the units that an attempt drew: a store takes a request's once, on arrival.

        Danger: drawn now and arriving later, they meet what this part filled up by in between.  So they keep
        its ceiling down while they are out; after that what may yet leave a second time pays a second time.
        """
        volume, units = request.volume, request.due
        if not units:
            return
        self._refill(request)
        volume.due -= units
        request.due = 0.0
        request.drawn = reached is True
        if reached is False:
            volume.limit += units

    def _most_limit(self, request: _Request) -> float:
        plan = self.set.plans[request.arrival.plan]
        return (plan.limit_burst + plan.limit_slack) / request.volume.writers * 0.999

    def _in_budget(self) -> bool:
        """Count further attempts over a little more than the window, requests over a little less."""
        window, tick = self.set.budget_window_ms, self.set.tick_ms
        if not window:
            return True
        while self.extra and self.extra[0] < self.now - window - tick:
            self.extra.popleft()
        while self.taken and self.taken[0] < self.now - window + tick:
            self.taken.popleft()
        return len(self.extra) + 1 <= self.set.budget_free + self.set.budget_share * len(self.taken)

    def _cold_room(self, node: _Node) -> float:
        """Units a node may still get within the cold window; no bound once it is surely warm."""
        window, line, hosts, usual = self.set.cold_window_ms, node.line, self.set.hosts, self.set.usual_units
        while node.recent and node.recent[0][0] <= self.now - window - self.set.tick_ms:
            node.recent.popleft()
        age, node.drawn = self.now - line.started_at_ms, 1.0
        if not line.started_at_ms or age >= self.set.warm_up_ms + window:
            return FOREVER
        if self.now < self.born + window:
            return 0.0  # a former life of this host may have spent its part just now
        grown = max(0.0, age - window) / max(1.0, self.set.warm_up_ms)
        bears = self.set.cold_bears * (1 + (1 / self.set.cold_from - 1) * min(1.0, grown))
        told = 2 / 3 * (bears + 2 * (bears * usual) ** 0.5 + 2 * usual)  # the third: who has not heard of it
        out = sum(r.arrival.units for r in (*node.out.values(), *node.strays.values()))  # may arrive yet
        spent = out + sum(units for _, units in node.recent)
        if min(bears, told) >= usual * hosts:
            return min(bears, told) / hosts - spent
        most = min(bears, told / hosts)
        if most < usual:
            # Danger: a part that pays for no request starves a cold node.  Hosts draw lots, once for each
            # start, for one request a window: the fewer of these windows they use, the more of them may.
            units = max(self.units_taken / len(self.lanes), self.lanes[line.shard].asked)
            asked = hosts * min(usual, units * window / max(window, self.now - self.born, 1.0))
            node.drawn, most = COLD_DRAWN * bears / max(asked, bears, 1.0), min(bears, self.set.most_units)
        return 0.0 if spent or node.lot > node.drawn else most

    # --- the timer

    def _arm(self) -> None:
        """One timer ahead: the next answer that is due, or the next look at what waits."""
        due = min(self.ask_at, self.expiry[0][0] if self.expiry else FOREVER)
        if any(x.waiting for x in self.live_lanes.values()) or any(x.out for x in self.live_nodes.values()):
            due = min(due, self.now + BEAT * PERIOD_MS)
        if due < self.armed or self.armed <= self.now:
            self.armed = due
            if due < FOREVER:
                self.actions.append(SetTimer(max(due, self.now), self.count))
