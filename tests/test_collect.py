"""Collecting evidence: words merge whatever the network does, sums are never added twice, tellers go on."""

import dataclasses
import json
import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.aggregation import collector as co
from cressrock.aggregation import messages as w
from cressrock.aggregation import sender as te
from cressrock.aggregation.channel import EvidenceChannel
from cressrock.errors.aggregation import (
    AggregationError,
    MalformedAggregationMessageError,
    ReportTooLargeError,
    UnsupportedAggregationVersionError,
)
from cressrock.errors.gossip import OriginFullError
from cressrock.failover import evidence as ev
from cressrock.failover.decision import FailoverSettings, ZoneSettings, ZoneState
from cressrock.failover.evaluation import EvaluationMemory, evaluate
from cressrock.failover.evidence import FleetEvidence, ZoneHealth, ZoneReport
from cressrock.failover.summary import ReportSummarizer, ReportView, SummaryView, ZoneMark, ZoneMember
from cressrock.lab.collectsim import CollectSim, figures, turns
from cressrock.lab.zonesim import Scene, ZoneSim
from cressrock.membership.membership import Member
from cressrock.membership.packets import MemberState as Life
from cressrock.rollout import evidence
from cressrock.rollout.counts import FleetCounts, LocalCounts
from cressrock.rollout.evidence import MAX_TOP_FACTORS, ROLLBACK_KEY, LocalRollback, RequestOutcome
from cressrock.rollout.plan import DIGEST_BYTES, RolloutPlan, Stage, Thresholds
from cressrock.rollout.summaries import FleetSummary, ZoneSummarizer, keep_fullest
from cressrock.rollout.verdict import accusations, accusations_from_counts

TIMES = te.AggregationTimings()


class Listed:
    """A fold whose sums say everything: who said what last."""

    def __init__(self):
        self.said = {}

    def take(self, origin, key, value, at_ms):
        self.said.setdefault(origin, {})[key] = value
        return True

    def forget(self, origin):
        self.said.pop(origin, None)

    def parts(self, zone, origins, now_ms):
        found = {
            f"{name}@{life}": {k: v.hex() for k, v in sorted(self.said[name, life].items()) if v is not None}
            for name, life in sorted(origins)
            if (name, life) in self.said
        }
        return {"all": json.dumps(found, sort_keys=True).encode()}

    def down(self, parts, now_ms):
        return False, b""


def edge(number, zone="a", life=1, alive=True):
    return co.MemberInfo(f"e{number}", life, zone, alive, True, True, False)


def seat(name, collects=True):
    return co.MemberInfo(name, 1, "x", True, True, False, collects)


class Two:
    """Two collectors, a seat that hears their summaries, and a network that does what it likes."""

    def __init__(self, source, tellers, zone="a", loss=0.0):
        self.source, self.now, self.loss = source, 0.0, loss
        self.peers = [*(edge(n, zone) for n in range(tellers)), seat("p0"), seat("p1"), seat("p2", False)]
        self.seats = {n: co.ReportCollector((n, 1), TIMES, Listed(), 0.0) for n in ("p0", "p1", "p2")}
        self.zone = zone
        for one in self.seats.values():
            one.update_members(self.peers, ["p0", "p1", "p2"], 0.0)

    def carry(self, sender, sends):
        """Carry what goes out, and what goes out for that; some is lost, some comes twice."""
        todo = [(sender, out) for out in sends]
        while todo:
            who, out = todo.pop(self.source.randrange(len(todo)))
            if out.name not in self.seats or self.source.random() < self.loss:
                continue
            for _ in range(1 + (self.source.random() < 0.2)):
                message = w.decode(w.encode(out.message))
                answers = self.seats[out.name].receive(self.now, who, 1, message)
                todo += [(out.name, answer) for answer in answers]

    def go(self, ms):
        end = self.now + ms
        while self.now < end:
            self.now += TIMES.summary_interval_ms
            for name in sorted(self.seats):
                self.carry(name, self.seats[name].tick(self.now))

    def view(self):
        found = self.seats["p2"].summaries.current(self.now)
        return json.loads(found[self.zone].summary.sums["all"]) if self.zone in found else {}


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_two_collectors_come_to_the_newest_words_whatever_is_lost_doubled_or_late(seed):
    source = random.Random(seed)
    tellers = source.randint(1, 12)
    net = Two(source, tellers, zone=source.choice(["a", "b", "c", "d"]), loss=source.choice([0.0, 0.3]))
    newest, told, tellings = {}, set(), []
    for n in range(tellers):
        number = 0
        for _ in range(source.randint(1, 6)):
            number += 1
            key, value = f"k{source.randrange(3)}", source.choice([None, bytes([source.randrange(256)])])
            newest.setdefault(f"e{n}", {})[key] = value
            entry = w.ReportEntry(key, number, value)
            told.add((f"e{n}@1", key, value.hex() if value is not None else None))
            # The newest of each key arrives somewhere; older ones may be lost, come again, or come later.
            tellings.append((f"e{n}", entry))
    last = {}
    for index, (name, entry) in enumerate(tellings):
        last[name, entry.key] = index
    late = [t for i, t in enumerate(tellings) if i in last.values() or source.random() < 0.6]
    late += source.choices(tellings, k=source.randint(0, 10))
    source.shuffle(late)
    for number, (name, entry) in enumerate(late):
        for collector in source.sample(["p0", "p1"], source.randint(1, 2)):
            net.seats[collector].receive(net.now, name, 1, w.Report(number, [entry]))
        if source.random() < 0.3:
            net.go(TIMES.summary_interval_ms)
            # On the way too: nobody is counted twice, and nothing that nobody said.
            for one, said in net.view().items():
                assert all((one, key, value) in told for key, value in said.items()), seed
    net.go(12000)
    net.loss = 0.0
    net.go(2000)
    wanted = {
        f"{name}@1": {k: v.hex() for k, v in sorted(said.items()) if v is not None}
        for name, said in newest.items()
    }
    assert net.view() == wanted, seed
    owner = net.seats["p0"].owner(net.zone)[0]
    assert net.seats[owner].origin_count() == tellers
    assert net.seats["p1" if owner == "p0" else "p0"].origin_count() == 0, (
        "who does not collect it holds nothing"
    )


def test_summaries_of_one_zone_are_never_added_and_an_old_one_lapses():
    merged = co.MergedSummaries(TIMES)
    a, b = ("p0", 1), ("p1", 1)

    def said(number, tellers, recent, **more):
        return w.ZoneSummary("z", number, tellers, recent, 10, 0.0, [], {"k": str(tellers).encode()}, **more)

    merged.receive(0.0, a, said(5, 10, 4))
    merged.receive(0.0, b, said(9, 3, 3))
    merged.receive(1.0, a, said(4, 2, 9))  # older: it changes nothing
    assert merged.sums(10.0) == {"z": {"k": b"10"}}
    merged.receive(500.0, b, said(10, 6, 5))
    assert merged.current(600.0)["z"].collector == b, "who hears more of late is taken"
    assert merged.current(1400.0)["z"].collector == b
    assert merged.current(2000.0) == {}
    # One in pieces counts once all of them are there, in whatever order.
    merged.receive(3000.0, a, said(20, 4, 4, index=1, of=2))
    assert merged.current(3000.0) == {}
    merged.receive(3000.0, a, said(20, 4, 4, index=0, of=2))
    assert merged.current(3000.0)["z"].collector == a
    merged.retain([b])
    assert merged.current(3000.0) == {}


def test_a_collector_that_stood_still_forgets_and_asks_for_everything():
    net = Two(random.Random(1), 3)
    owner = net.seats[net.seats["p0"].owner("a")[0]]
    owner.receive(0.0, "e1", 1, w.Report(1, [w.ReportEntry("k", 1, b"x")]))
    net.go(500)
    assert owner.origin_count() == 1
    late = net.now + 5000
    # What lay in its socket meanwhile is of unknown age.
    assert owner.receive(late, "e2", 1, w.Report(1, [w.ReportEntry("k", 1, b"y")])) == []
    assert owner.origin_count() == 0 and owner.tick(late + 100) == []
    for step in range(20):
        sends = owner.tick(late + 200 + step * 100)
        if sends:
            break
    pushes = {
        out.recipient for out in sends if isinstance(out.message, w.ReportAck) and out.message.resend_all
    }
    assert pushes == {"e0", "e1", "e2"}
    asked = Counter()
    for step in range(200):  # and not again and again
        now = late + 3000 + step * 250
        for out in owner.tick(now):
            asked[out.recipient] += isinstance(out.message, w.ReportAck)
            if isinstance(out.message, w.ReportAck) and out.recipient != "e2":
                answers = owner.receive(now, out.recipient, 1, w.Report(step, []))
                assert not answers[0].message.resend_all
    assert asked["e0"] <= 1 and asked["e1"] <= 1 and 1 < asked["e2"] <= 22, asked


def test_words_of_the_unknown_the_dead_and_former_lives_are_not_kept():
    net = Two(random.Random(1), 3)
    one = net.seats["p0"]
    entry = [w.ReportEntry("k", 1, b"x")]
    assert one.receive(1.0, "nobody", 1, w.Report(1, entry)) == []
    assert one.receive(1.0, "e1", 0, w.Report(1, entry)) == []
    assert one.receive(1.0, "e1", 1, w.Report(1, entry)) != []
    assert one.origin_count() == 1
    one.update_members([edge(1, life=2), *net.peers[3:]], ["p0"], 2.0)
    assert one.origin_count() == 0
    for _ in range(3):
        for key in range(w.MAX_ENTRIES_PER_ORIGIN + 50):
            one.receive(3.0, "e1", 2, w.Report(1, [w.ReportEntry(f"k{key}", 1, b"x")]))
    assert len(one._origins["e1"].words) == w.MAX_ENTRIES_PER_ORIGIN


def test_what_an_older_process_puts_into_the_spread_counts_and_gives_way_to_what_it_tells():
    net = Two(random.Random(1), 2)
    one = net.seats["p0"]
    one.receive_gossip(1.0, "e0", 1, "k", b"old")
    assert one.summarizer.said[("e0", 1)] == {"k": b"old"}
    one.receive(2.0, "e0", 1, w.Report(1, [w.ReportEntry("k", 1, b"new")]))
    one.receive_gossip(3.0, "e0", 1, "k", b"older")
    assert one.summarizer.said[("e0", 1)] == {"k": b"new"}


# --- tellers


class Line:
    """One teller and collectors that answer or not."""

    def __init__(self, seed=1, collectors=3, window=500.0):
        self.teller = te.ReportSender("a", TIMES, random.Random(seed), 0.0)
        self.now, self.dead, self.sent, self.at = 0.0, set(), [], 0
        self.window = window
        self.has = {}
        self.roster([(f"p{n}", 1) for n in range(collectors)])

    def roster(self, collectors):
        self.collectors = collectors
        self.teller.update_collectors(collectors, self.now)

    def go(self, ms, step=10.0):
        end = self.now + ms
        while self.now < end:
            self.now += step
            for out in self.teller.tick(self.now):
                self.sent.append((self.now, out.recipient, len(w.encode(out.message)), out.message))
                if out.recipient in self.dead:
                    continue
                for entry in out.message.entries:
                    self.has.setdefault(out.recipient, {})[entry.key] = entry.value
                self.at += 1
                got = w.ReportAck([out.message.number], self.at, False, self.window, 500.0)
                self.teller.receive(self.now, out.recipient, dict(self.collectors)[out.recipient], got)


def test_a_word_is_told_once_and_renewed_seldom_and_its_bytes_are_flat():
    line = Line()
    line.teller.put("k", b"x" * 200, line.now)
    line.go(60000)
    assert len(line.sent) <= 1 + 60000 / (0.75 * TIMES.renewal_interval_ms) + 1
    assert sum(size for _, _, size, _ in line.sent) / 60 < 60
    assert line.teller.is_acknowledged()
    line.sent.clear()
    line.teller.put("k", b"y", line.now)
    line.go(50)
    assert len(line.sent) == 1, "a changed word is told at once"
    line.teller.put("k", None, line.now)
    line.go(50)
    assert line.has[line.sent[0][1]] == {"k": None} and line.teller.entries() == {}


def test_a_teller_moves_on_from_a_silent_collector_and_comes_back_to_it():
    line = Line()
    line.teller.put("k", b"x", line.now)
    line.go(1000)
    first, second, _ = [name for name, _ in te.rank_collectors("a", line.collectors)]
    assert line.teller.collector == (first, 1)
    line.dead = {first}
    line.teller.put("k", b"y", line.now)
    begun = line.now
    while line.has.get(second) != {"k": b"y"}:
        line.go(10)
        assert line.now - begun < 2000
    line.dead = set()
    line.go(60000)
    assert line.teller.collector == (first, 1) and line.has[first] == {"k": b"y"}
    line.roster([c for c in line.collectors if c[0] != first])
    line.go(1000)
    assert line.teller.collector == (second, 1)
    line.roster([(second, 2)])
    line.sent.clear()
    line.go(1000)
    assert line.sent and line.teller.collector == (second, 2), "a new life has nothing: all is told anew"
    line.roster([])
    line.go(1000)
    assert line.teller.collector is None


def test_tellers_move_at_times_of_their_own_and_none_hammers_a_fleet_without_collectors():
    times = []
    for seed in range(200):
        line = Line(seed)
        line.teller.put("k", b"x", line.now)
        line.go(800)
        line.sent.clear()
        line.roster([c for c in line.collectors if c != line.teller.collector])
        line.go(600)
        times.append(line.sent[0][0] - 800)
    worst = max(Counter(int(t // 50) for t in times).values())
    assert max(times) > 400 and worst < 50, "spread by a draw"
    line = Line()
    line.dead = {name for name, _ in line.collectors}
    line.teller.put("k", b"x", line.now)
    line.go(120000)
    assert len(line.sent) < 120, "backing off"


def test_a_push_is_heeded_once_at_a_drawn_time_and_lapses():
    line = Line()
    line.go(2000)
    to = line.teller.collector
    assert line.teller.receive(line.now, *to, w.ReportAck([], 100, True, 400.0, 900.0, False, b"d"))
    assert (
        line.teller.is_evidence_requested(line.now)
        and line.teller.update_interval_ms() == 900.0
        and line.teller.broadcast == b"d"
    )
    assert not line.teller.receive(line.now, *to, w.ReportAck([], 99, False, 400.0, 900.0)), "an older one"
    assert not line.teller.receive(line.now, "p9", 1, w.ReportAck([], 200, False, 400.0, 900.0)), "another's"
    assert not line.teller.is_evidence_requested(line.now + TIMES.evidence_request_ttl_ms)


def test_what_is_too_large_is_refused_and_what_is_much_comes_in_datagrams():
    line = Line()
    with pytest.raises(ReportTooLargeError):
        line.teller.put("k", b"x" * 641, line.now)
    with pytest.raises(ReportTooLargeError):
        line.teller.put("k" * 65, b"", line.now)
    for n in range(w.MAX_ENTRIES_PER_ORIGIN):
        line.teller.put(f"k{n}", b"x" * 600, line.now)
    with pytest.raises(ReportTooLargeError):
        line.teller.put("more", b"", line.now)
    line.go(2000)
    assert len(line.has[line.teller.collector[0]]) == w.MAX_ENTRIES_PER_ORIGIN
    assert max(size for _, _, size, _ in line.sent) <= 1100


def test_rendezvous_moves_only_the_zones_of_who_left_and_shares_them_out():
    collectors = [(f"p{n}", 1) for n in range(6)]
    zones = [f"zone-{n}" for n in range(600)]
    owner = {zone: te.rank_collectors(zone, collectors)[0] for zone in zones}
    assert all(60 < n < 145 for n in Counter(owner.values()).values())
    left = [c for c in collectors if c != ("p2", 1)]
    for zone in zones:
        if owner[zone] != ("p2", 1):
            assert te.rank_collectors(zone, left)[0] == owner[zone]
    assert te.rank_collectors("z", reversed(collectors)) == te.rank_collectors("z", collectors)


# --- which way


def test_few_tell_by_the_spread_many_by_collectors_and_nothing_flaps():
    most = te.derive_max_gossip_senders(10000.0)
    assert 20 <= most <= 60
    way, changes, now = te.DeliveryMode(most, 10000.0), 0, 0.0
    source = random.Random(4)
    for _ in range(2000):  # members come and go around the border
        now += 500
        before = way.collecting
        changes += way.update(now, most + source.randint(-8, 8), 3, ()) != before
    assert changes <= 1
    way = te.DeliveryMode(most, 10000.0)
    assert not way.update(0.0, 230, 3, ()) and way.update(1000.0, 230, 3, ()), "at first soon"
    assert way.update(10500.0, most // 2 + 1, 3, ()), "down at half alone"
    assert way.update(11000.0, 230, 3, ["p1"]) and way.update(20000.0, 230, 3, ["p1"])
    assert not way.update(21000.0, 230, 3, ["p1"]) and "p1" in way.reason
    assert not way.update(22000.0, 230, 3, ()) and not way.update(31000.0, 230, 3, ())
    assert way.update(32000.0, 230, 3, ()) and way.update(33000.0, 230, 0, ())
    assert not way.update(43000.0, 230, 0, ()) and "no collector" in way.reason
    assert te.gossip_interval_ms(230, 40.0, 10000.0) == 0.0, "as before"
    assert te.gossip_interval_ms(4800, 40.0, 10000.0) == 120000.0


# --- bytes


def test_golden_bytes_and_what_is_newer():
    tell = w.Report(7, [w.ReportEntry("zones/0", 3, b"v", 0), w.ReportEntry("zones/1", 4, None, 0)])
    assert w.encode(tell).hex() == (
        "01930107" + "92" + "94a77a6f6e65732f3003c4017600" + "94a77a6f6e65732f3104c000"
    )
    for message in (
        tell,
        w.ReportAck([7], 9, True, 1.5, 500.0, False, b"d"),
        w.HandoverAck(3),
        w.Handover(3, "a", [w.HeldEntry("e1", 5, w.ReportEntry("k", 1, b"", 12.0))]),
        w.ZoneSummary("a", 1, 2, 1, 3, 4.5, ["e9"], {"zones/a": b"r"}, 0, 2),
    ):
        assert w.decode(w.encode(message)) == message
    assert w.decode(bytes.fromhex("0194010790c0")) == w.Report(7, []), "appended fields are passed over"
    with pytest.raises(UnsupportedAggregationVersionError):
        w.decode(b"\x02\x90")
    for wrong in (
        b"",
        b"\x01",
        b"\x01\xc1",
        b"\x01\x91\x63",
        b"\x01\x93\x01\xff\x90",
        b"\x01" + b"\x91" * 4000,
    ):
        with pytest.raises(MalformedAggregationMessageError):
            w.decode(wrong)


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300))
def test_any_bytes_are_read_or_refused_by_type(data):
    for some in (data, b"\x01" + data):
        try:
            w.decode(some)
        except AggregationError:
            pass


# --- the zones' sums

REGIONS = {"a1": "north", "a2": "north", "b1": "south"}
OF = FailoverSettings(zones={n: ZoneSettings(region=r, capacity=300.0) for n, r in REGIONS.items()}, edges=30)
WORDS = st.lists(
    st.tuples(
        st.integers(0, 29),
        st.sampled_from(sorted(REGIONS)),
        st.sampled_from(list(ZoneHealth)),
        st.integers(0, 30),
        st.integers(0, 30),
        st.integers(0, 30),
        st.integers(-9, 9),
        st.floats(0, 20),
        st.integers(0, 9),
    ),
    max_size=60,
)


@settings(max_examples=150, deadline=None)
@given(WORDS, st.integers(0, 30))
def test_sums_by_place_say_exactly_what_the_words_say(spoken, step):
    who = {(f"e{n}", 1): ZoneMember((f"e{n}", 1), sorted(REGIONS)[n % 3], True, True) for n in range(30)}
    everything = FleetEvidence(OF)
    sums = {place: ReportSummarizer(OF) for place in REGIONS}
    said = {}
    for n, zone, word, reached, failed, age, run, units, beat in spoken:
        told = ZoneReport(zone, int(word), reached, failed, 0, age, round(units, 2), round(units / 2, 2), run)
        said.setdefault(n, {})[zone] = (beat, told)
    for half in (False, True):
        for n, words in said.items():
            if (n % 2 == 1) == half:
                place = sorted(REGIONS)[n % 3]
                beat = max(b for b, _ in words.values())
                for number, value in enumerate(ev.encode_reports(beat, [t for _, t in words.values()])):
                    for one in (everything, sums[place]):
                        one.receive((f"e{n}", 1), f"zones/{number}", value, 0.0)
        if not half:  # a step of the way back begins between
            mark = ZoneMark((ZoneState.RECOVERING, 8), 0.0, everything.latest_intervals())
            for one in sums.values():
                for zone in REGIONS:
                    one.marks[zone] = ZoneMark(
                        (ZoneState.RECOVERING, 8), 0.0, one.evidence.latest_intervals()
                    )
    now = 1000.0
    told = ReportView(OF, who, everything.reports(now))
    parts = {p: s.summarize(p, [o for o in who if who[o].zone == p], now) for p, s in sums.items()}
    summed = SummaryView(OF, who.values(), parts, dict.fromkeys(REGIONS, 10))
    for zone in REGIONS:
        for since in (None, mark):
            one, other = told.count_witnesses(zone, since), summed.count_witnesses(zone, since)
            assert (one.unreachable, one.reachable, one.degraded, one.slow, one.suspects) == (
                other.unreachable,
                other.reachable,
                other.degraded,
                other.slow,
                other.suspects,
            )
            assert {p: n for p, n in one.attempts.items() if n} == {
                p: n for p, n in other.attempts.items() if n
            }
            assert {p: n for p, n in one.failed_attempts.items() if n} == {
                p: n for p, n in other.failed_attempts.items() if n
            }
        assert told.remote_requesters(zone) == summed.remote_requesters(zone)
        assert told.load(zone) == pytest.approx(summed.load(zone), abs=0.01)
        assert told.demand(zone, ["a2"]) == pytest.approx(summed.demand(zone, ["a2"]), abs=0.01)
    other = ZoneMark((ZoneState.RECOVERING, 16), 0.0, {})
    assert summed.count_witnesses("a1", other).unreachable_and_reachable() == (0, 0), (
        "counted under another step"
    )


def test_nothing_is_given_up_while_those_who_might_contradict_are_not_heard():
    who = [ZoneMember((f"e{n}", 1), sorted(REGIONS)[n % 3], True, True) for n in range(30)]
    sums = ReportSummarizer(OF)
    for n in range(30):
        if n % 3 == 0:
            continue  # a1's edges still reach a1, and their collector has just died
        said = [ZoneReport("a1", ZoneHealth.UNREACHABLE, 0, 9, 0, 0, 1.0, 1.0, -9)]
        said += [ZoneReport(zone, ZoneHealth.HEALTHY, 9, 0, 0, 0, 1.0, 1.0, 9) for zone in ("a2", "b1")]
        for value in ev.encode_reports(5, said):
            sums.receive((f"e{n}", 1), "zones/0", value, 0.0)
    memory, found = EvaluationMemory(), []
    for now in range(0, 14000, 250):
        parts = {p: sums.summarize(p, [w.origin for w in who if w.zone == p], 100.0) for p in ("a2", "b1")}
        view = SummaryView(OF, who, parts, {"a2": 10, "b1": 10})
        verdict = evaluate(OF, who, view, {}, None, float(now), memory)
        if verdict is not None:
            found.append(now)
            break
    assert found and found[0] >= OF.fresh_ms, "and not for ever: who stays unheard counts no more"


def test_sums_that_cannot_be_read_count_as_not_said():
    parts = {"a1": {"zones/a1": b"\x09", "zones/nowhere": b"", "other": b"x", "zones/a2": b"\x01\xc1"}}
    view = SummaryView(OF, [], parts, {})
    assert view.count_witnesses("a1", None).unreachable_and_reachable() == (0, 0) and view.load("a2") == 0.0


def test_what_is_told_anew_to_another_collector_is_as_old_as_it_is():
    line = Line()
    line.teller.put("k", b"x", line.now)
    line.go(8000)
    line.sent.clear()
    line.roster([c for c in line.collectors if c != line.teller.collector])
    line.go(1000)
    told = [message.entries[0].age_ms for _, _, _, message in line.sent]
    assert told and min(told) >= 8000
    net = Two(random.Random(2), 1)
    one = net.seats["p0"]
    heard = []
    one.summarizer.receive = lambda origin, key, value, at_ms: heard.append(at_ms)
    one.receive(900.0, "e0", 1, w.Report(1, [w.ReportEntry("k", 1, b"x", 400.0)]))
    assert heard == [500.0]
    # Handed over it grows older still.
    one._owner["a"] = ("p1", 1)
    words = [out.message for out in one.tick(950.0) if isinstance(out.message, w.Handover)]
    assert words[0].entries[0].entry.age_ms == 450.0


# --- rollouts' sums


def document(accusers):
    return RolloutPlan(
        stages=[Stage(volume_fraction=0.5, control_fraction=0.5), Stage(control_fraction=0.2)],
        thresholds=Thresholds(min_accusers=accusers),
    )


def counted(source, processes, digest):
    """Return each life's entries: some processes fare badly under the candidate, most as beside it."""
    found = {}
    for n in range(processes):
        for life in range(1, source.choice([2, 2, 3])):
            own = LocalCounts(digest)
            chance = source.choice([0.02, 0.05, 0.5])
            for _ in range(source.randint(0, 60)):
                candidate = source.random() < 0.5
                bad = source.random() < (chance if candidate else 0.05)
                ended = RequestOutcome.REJECTED if bad else RequestOutcome.SERVED
                own.record(source.randrange(2), source.randrange(2), candidate, ended, 10.0, 100.0)
            found[f"e{n}", life] = own.drain_changes()
    return found


@settings(max_examples=80, deadline=None)
@given(st.integers(0, 2**32), st.sampled_from([1, 2, 3, 5, 8]))
def test_rollouts_sums_by_zone_accuse_as_all_counts_do_and_never_more(seed, accusers):
    source = random.Random(seed)
    digest, course = "ab" * (DIGEST_BYTES), document(accusers)
    heard, zones = FleetCounts(digest), {z: ZoneSummarizer() for z in "abc"}
    for one in zones.values():
        one.follow(digest, course, 2)
    lives = counted(source, source.randint(1, 20), digest)
    entries = [(origin, key, value) for origin, told in lives.items() for key, value in told]
    for origin, key, value in source.sample(entries, len(entries)) + source.choices(entries or [None], k=9):
        if entries:
            heard.merge(origin, key, value)
            zones["abc"[int(origin[0][1:]) % 3]].receive(origin, key, value, 0.0)
    parts = {
        z: one.summarize(z, [o for o in lives if "abc"[int(o[0][1:]) % 3] == z], 0.0)
        for z, one in zones.items()
    }
    view = FleetSummary(digest, parts)
    assert view.totals == {p: t for p, t in heard.totals.items()}
    assert view.process_count() == heard.process_count() and view.candidate_trials(
        1
    ) == heard.candidate_trials(1)
    one, other = accusations_from_counts(heard, course, 2), accusations(view, course, 2)
    if accusers - 1 <= MAX_TOP_FACTORS:
        assert [(a.request_class, a.fault_kind, a.candidate) for a in one] == [
            (a.request_class, a.fault_kind, a.candidate) for a in other
        ]
        for a, b in zip(one, other, strict=True):
            assert a.log_wealth == pytest.approx(b.log_wealth, rel=1e-5)
    else:
        sure = {(a.request_class, a.fault_kind): a.log_wealth for a in one}
        assert all(b.log_wealth <= sure.get((b.request_class, b.fault_kind), -1.0) + 1e-3 for b in other)
    # What a life that is gone has told counts on, and a collector with less replaces nothing.
    held = {}
    keep_fullest(held, parts, digest)
    fewer = ZoneSummarizer()
    fewer.follow(digest, course, 2)
    for origin, told in list(lives.items())[:1]:
        for key, value in told:
            fewer.receive(origin, key, value, 0.0)
    keep_fullest(held, {"a": fewer.summarize("a", list(lives)[:1], 0.0)}, digest)
    keep_fullest(held, {"a": {"rollout/sum/0": b"\x01", "x": b"y"}}, digest)
    assert FleetSummary(digest, held).totals == view.totals
    keep_fullest(held, parts, "cd" * DIGEST_BYTES)
    assert FleetSummary("cd" * DIGEST_BYTES, held).totals == {}


def test_sums_of_a_candidate_that_is_heard_of_late_count_what_was_told_before():
    digest, sums = "ab" * DIGEST_BYTES, ZoneSummarizer()
    own = LocalCounts(digest)
    own.record(0, 0, True, RequestOutcome.SERVED, 1.0, 10.0)
    for key, value in own.drain_changes():
        sums.receive(("e1", 1), key, value, 0.0)
    back = evidence.encode(LocalRollback(bytes.fromhex(digest), "too slow"))
    sums.receive(("e1", 1), ROLLBACK_KEY, back, 0.0)
    assert sums.summarize("a", [("e1", 1)], 0.0) == {}
    sums.follow(digest, document(2), 2)
    view = FleetSummary(digest, {"a": sums.summarize("a", [("e1", 1)], 0.0)})
    assert (
        view.candidate_trials(0) == 1
        and view.rollback_count() == 1
        and view.rollback_reasons == {"e1": "too slow"}
    )
    sums.forget(("e1", 1))
    assert FleetSummary(digest, {"a": sums.summarize("a", [], 0.0)}).candidate_trials(0) == 1


# --- the carrier, without a network


class Wire:
    """Some processes' carriers in one place; time is told, and so is who is there."""

    def __init__(self, tellers, seats=3, most=0):
        self.now, self.there, self.all = 0.0, {}, {}
        self.seats = [f"p{n}" for n in range(seats)]
        for name in [f"e{n}" for n in range(tellers)] + self.seats:
            collects = name in self.seats
            one = EvidenceChannel(
                (name, 1),
                "a",
                Shelf(),
                clock=lambda: self.now,
                source=random.Random(name),
                log=Quiet(),
                replicas=self.seats,
                sends_reports=not collects,
                is_collector=collects,
                max_gossip_senders=most,
            )
            one.summarizers.add("listed", Listed())
            one.send = lambda to, data, name=name: self.pass_on(name, to, data)
            one.members = lambda: tuple(self.there.values())
            self.all[name] = one
            self.there[name] = Member(
                name,
                1,
                "planner" if collects else "edge",
                "a",
                "",
                "",
                Life.ALIVE,
                0.0,
                w.CAPABILITY if collects else b"",
            )
        self.dead, self.wire = set(), []

    def pass_on(self, sender, to, data):
        self.wire.append((sender, to, data))

    def go(self, ms):
        end = self.now + ms
        while self.now < end:
            self.now += 50.0
            for name, one in self.all.items():
                if name in self.dead:
                    continue
                one._refresh(self.now)
                one._look(self.now)
                one._send(one.teller.tick(self.now))
                if one.collect is not None:
                    one._send(one.collect.tick(self.now))
            while self.wire:
                sender, to, data = self.wire.pop(0)
                if to in self.all and to not in self.dead:
                    self.all[to].receive(sender, 1, data)

    def change(self):
        for one in self.all.values():
            one.changed()


class Shelf:
    """A spread that goes nowhere."""

    def __init__(self):
        self.held, self.writes = {}, 0

    def put(self, key, value):
        self.held[key] = value
        self.writes += 1

    def remove(self, key):
        self.held.pop(key, None)


class Quiet:
    def info(self, *given, **more):
        pass

    warning = info


def test_entries_move_from_the_spread_to_collectors_and_back_and_are_never_nowhere():
    wire = Wire(5, most=1)
    edges = [one for name, one in wire.all.items() if name.startswith("e")]
    for one in edges:
        one.put("zones/0", b"v")
        assert one.spread.held == {"zones/0": b"v"}, "as before, until the way is decided"
    for _ in range(100):
        wire.go(50)
        held = [wire.all[p].collect.fold.summarizers["listed"].said for p in wire.seats]
        for one in edges:
            assert one.spread.held or any(one.me in said for said in held), "nowhere"
    assert all(one.collecting and not one.spread.held and one.teller.answered() for one in edges)
    # Seats that say nothing of collecting, as older ones do: by the spread again, after a hold.
    for name in wire.seats[1:]:
        wire.there[name] = dataclasses.replace(wire.there[name], extra=b"")
    wire.change()
    wire.go(12000)
    assert all(not one.collecting and one.spread.held == {"zones/0": b"v"} for one in edges)
    assert "announce no collect/1" in edges[0].status()["why"]


def test_many_without_collectors_do_not_all_write_into_the_spread_at_once():
    wire = Wire(3, most=1)
    for one in wire.all.values():
        one.put("zones/0", b"v")
    wire.go(3000)
    for n in range(4800):
        wire.there[f"x{n}"] = Member(f"x{n}", 1, "edge", "b", "", "", Life.ALIVE, 0.0, b"")
    for name in wire.seats:
        del wire.there[name]
        wire.dead.add(name)
    wire.change()
    edges = [one for name, one in wire.all.items() if name.startswith("e")]
    before = [one.spread.writes for one in edges]
    wire.go(20000)
    assert all(not one.collecting for one in edges)
    least = [one.least_ms() for one in edges]
    assert min(least) >= 60000 and len(set(least)) == 3, "drawn"
    assert [one.spread.writes for one in edges] == before
    wire.go(200000)
    assert all(one.spread.held for one in edges)


# --- hollow fleets


def test_what_each_sends_does_not_grow_with_the_fleet_and_a_lost_zone_is_given_up_as_soon():
    sent, given_up = [], []
    scene = Scene("z", ((4000.0, lambda sim: sim.lose("a1")),), 11000.0, 1)
    for edges in (60, 120, 240):
        sim = CollectSim(3, edges=edges, capacity=edges * 2.5 / (0.6 * 3))
        sim.run(scene)
        found = figures(sim, 11.0, 4000.0, "a1")
        sent.append(found["both_bytes_s"])
        given_up.append(found["given_up_ms"])
        assert found["sound_given_up"] == 0
    assert max(sent) < 1.15 * min(sent) and max(sent) < 600, sent
    old = ZoneSim(3, edges=240, capacity=240 * 2.5 / (0.6 * 3))
    old.run(scene)
    before = turns(old)[0][0] - 4000.0
    assert given_up[-1] <= before + old.settings.beat_ms, (given_up, before)


@pytest.mark.parametrize("trouble", ["kill", "stop"])
def test_collectors_that_die_or_stand_still_in_calm_move_nobody(trouble):
    def hurt(sim):
        if trouble == "stop":
            for name in list(sim.machines)[:3]:
                sim.stop(name, 4000.0)
        else:
            sim.kill("m1")
            sim.kill("m2")

    sim = CollectSim(5, edges=90, capacity=90 * 2.5 / (0.6 * 3))
    sim.run(Scene("z", ((3000.0, hurt),), 16000.0, 0))
    assert sim.decrees == []
    assert sum(t.is_acknowledged() for t in sim.tellers.values()) == 90, "and all of them are heard again"


def test_a_carrier_has_nothing_due_at_once_for_ever_and_a_full_spread_ends_nothing():
    wire = Wire(3)
    for _ in range(60):
        wire.go(1000)
        assert all(one.teller.next_due() > wire.now for one in wire.all.values()), "it would spin"
    wire = Wire(3, most=1)
    wire.go(3000)
    edge = wire.all["e0"]
    for _ in range(40):
        wire.go(1000)
        assert all(
            one.teller.next_due() > wire.now for name, one in wire.all.items() if name.startswith("e")
        ), "it would spin"

    def full(key, value):
        raise OriginFullError("no room")

    edge.spread.put = full
    edge.put("zones/0", b"v")
    for name in wire.seats:
        wire.there[name] = dataclasses.replace(wire.there[name], extra=b"")
    wire.change()
    wire.go(15000)
    assert edge.untold == 1 and not edge.collecting
    edge.put("zones/1", b"x" * 9000)
    assert edge.untold == 2


def test_summaries_and_words_of_who_does_not_collect_are_not_taken():
    net = Two(random.Random(1), 2)
    one = net.seats["p0"]
    said = w.ZoneSummary("a", 5, 1, 1, 1, 0.0, [], {})
    for sender, life in (("e0", 1), ("p1", 7), ("nobody", 1)):
        assert one.receive(1.0, sender, life, said) == []
        assert (
            one.receive(
                1.0, sender, life, w.Handover(1, "a", [w.HeldEntry("e1", 1, w.ReportEntry("k", 1, b""))])
            )
            == []
        )
    assert one.origin_count() == 0 and one.summaries.current(1.0) == {}
    merged = co.MergedSummaries(TIMES)
    for n in range(co.MAX_SUMMARIES + 50):
        merged.receive(0.0, ("p0", 1), w.ZoneSummary(f"z{n}", 1, 1, 1, 1, 0.0, [], {}))
    assert len(merged.current(0.0)) == co.MAX_SUMMARIES
