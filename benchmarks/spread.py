"""The spread in simulated rounds: rounds to everywhere, bytes by size of the fleet, cuts, lives, cost.

    python benchmarks/spread.py [--seeds 20] [--processes 3] [--write]

`--write` writes benchmarks/results/spread.md.  Rounds and bytes are of a seed, microseconds the machine's.
"""

import argparse
import gc
import math
import random
import statistics
import sys
import time
import tracemalloc
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from cressrock.gossip.settings import GossipStoreSettings  # noqa: E402
from cressrock.gossip.store import GossipStore  # noqa: E402
from cressrock.lab.spreadsim import SpreadNet  # noqa: E402

ENTRIES, SIZE = 3, 40


def net(members, seed, factor=2.0, **more):
    made = SpreadNet(members, seed, settings=GossipStoreSettings(retransmit_factor=factor), **more)
    made.fill(ENTRIES, SIZE)
    return made


def until(n, done, most=400):
    for number in range(1, most + 1):
        n.round()
        if done():
            return number
    return most


def one_write(job):
    """Rounds until each of two writes, one after the other, is at all members."""
    seed, members, factor, answers = job
    n = net(members, seed, factor, answers=answers)
    found, before = [], sum(n.bytes.values())
    for number in range(2):
        writer = n.spreads[n.source.randrange(members)]
        writer.put("key/0", b"new%d" % number)
        found.append(until(n, lambda: n.behind() == 0, 400 if answers else 60))
        for _ in range(10):
            n.round()
    return found, (sum(n.bytes.values()) - before) / members / (sum(found) + 20)


def all_write(job):
    seed, members, factor = job
    n = net(members, seed, factor)
    for s in n.spreads:
        s.put("key/0", b"all at once" * 3)
    before = sum(n.bytes.values())
    rounds = until(n, lambda: n.behind() == 0)
    return rounds, (sum(n.bytes.values()) - before) / members / rounds


def rate(job):
    """Bytes a member and round, calm and under writes; and how late writes are at the end."""
    seed, members, writes = job  # writes a round in the whole fleet
    n = net(members, seed)
    rounds, warm, due, number = 45, 15, 0.0, 0
    when = []
    for at in range(rounds):
        if at == warm:
            n.bytes = dict.fromkeys(n.bytes, 0)
        due += writes
        while due >= 1:
            due -= 1
            number += 1
            s = n.spreads[n.source.randrange(members)]
            s.put("key/1", b"%08d" % number * 5)
            when.append((at, s.local, b"%08d" % number * 5))
        n.round()
    parts = {k: v / members / (rounds - warm) for k, v in n.bytes.items()}
    # Of what was written 20 rounds before the end and not written over since: the share read.
    last = {}
    for at, origin, value in when:
        last[origin] = (at, value)
    aged = [(o, v) for o, (at, v) in last.items() if at <= rounds - 20]
    seen = [n.have("key/1", o, v) / members for o, v in aged[:60]]
    return sum(parts.values()), parts, statistics.mean(seen) if seen else 1.0, len(aged)


def healed(job):
    """Rounds to one state after 40 rounds of a cut with writes on both sides; bytes of the worst round."""
    seed, members = job
    n = net(members, seed)
    n.joined = lambda a, b: (a < members // 2) == (b < members // 2)
    for _ in range(40):
        for _ in range(members // 10):
            s = n.spreads[n.source.randrange(members)]
            s.put(f"key/{n.source.randrange(ENTRIES)}", n.source.randbytes(40))
            s.increment("work")
        n.round()
    n.joined = lambda _a, _b: True
    before = sum(n.bytes.values())
    total = sum(s.counter_total("work") for s in n.spreads) / members

    rounds = until(n, lambda: n.behind() == 0)
    views = {
        tuple(sorted((o, tuple(sorted(h[2].items()))) for o, h in s.snapshot().items()))
        for s in n.spreads[::23]
    }
    assert len(views) == 1
    assert n.spreads[0].counter_total("work") == 40 * (members // 10) > total
    return rounds, (sum(n.bytes.values()) - before) / members / rounds


def lives(seed):
    """Bytes reckoned and measured before, and after 1,000 lives have come and gone beside 20 that stay."""
    tracemalloc.start()
    source = random.Random(seed)
    settings = GossipStoreSettings()
    me = GossipStore("me", 1, settings, random.Random(seed))
    stay = [GossipStore(f"stay-{k}", 1, settings, random.Random(k)) for k in range(20)]
    admitted = [me.local, *(s.local for s in stay)]

    def write(s):
        for key in range(20):
            s.put(f"key/{key}", source.randbytes(40))
            s.add_item("room", f"{s.local[0]}-{key}", b"x" * 20)
        s.increment("work", 3)
        return s.full_state(None, 10**6)[0]

    for s in stay:
        me.merge(write(s))
    me.retain_origins(admitted)
    start = me.size_bytes(), tracemalloc.get_traced_memory()[0]
    most = 0
    for life in range(1000):
        s = GossipStore(f"comes-{life % 50}", life + 1, settings, random.Random(life))
        me.retain_origins([*admitted, s.local])
        me.merge(write(s))
        me.discard_item("room", f"{s.local[0]}-3")
        me.drain_changes()
        most = max(most, me.size_bytes())
        if life % 50 == 49:
            me.recent_changes(1200)
    me.retain_origins(admitted)
    for _ in range(50):
        me.recent_changes(1200)
    end = me.size_bytes(), tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return start, most, end, len(me.snapshot()), len(me.snapshot()[me.local][2])


def cost():
    """Microseconds for each entry: a rumour of 10, a delta of 20, both as repeats; beside a plain dict."""
    found = {}
    settings = GossipStoreSettings(max_pending_changes=1000)

    def clock(call, jobs):
        best = math.inf
        for _ in range(5):
            made = [job() for job in jobs]
            begin = time.perf_counter()
            for item in made:
                call(*item)
            best = min(best, time.perf_counter() - begin)
        return best * 1e6

    writer = GossipStore("writer", 1, settings, random.Random(1))
    for key in range(400):
        writer.put(f"key/{key}", b"v" * 40)
    rumours = []
    while writer.broadcasts.has_unsent:  # each once
        rumours.append(writer.recent_changes(650))
    whole, cursor = [], None
    while True:
        data, cursor = writer.full_state(cursor, 1200)
        whole.append(data)
        if cursor is None:
            break
    entries = [(key, (v, p)) for key, (v, p) in writer.snapshot()[writer.local][2].items()]

    def merge_all(parcels, target):
        for data in parcels:
            target.merge(data)

    def fresh_target():
        return GossipStore("reader", 1, settings, random.Random(2))

    def dict_merge(target):
        for key, (version, payload) in entries:
            held = target.get(key)
            if held is None or held[0] < version:
                target[key] = (version, payload)

    count = 400
    full = fresh_target()
    merge_all(whole, full)
    told = sum(len(data) for data in whole)
    found["deltas, new"] = clock(merge_all, [lambda: (whole, fresh_target())]) / count
    found["deltas, repeated"] = clock(merge_all, [lambda: (whole, full)]) / count
    found["rumours, new"] = clock(merge_all, [lambda: (rumours, fresh_target())]) / count
    found["plain dict of (version, value), decoded already"] = clock(dict_merge, [lambda: ({},)]) / count
    big = net(230, 1)
    a, b = big.spreads[0], big.spreads[1]
    calls = clock(lambda: [a.digest(1200) for _ in range(50)], [tuple])
    found["a calm digest of 230 members (one call)"] = calls / 50
    digest = a.digest(1200)
    found["delta to it, nothing lacking (one call)"] = (
        clock(lambda: [b.delta(digest, 1200) for _ in range(50)], [tuple]) / 50
    )
    found["admit of 230 (one call)"] = (
        clock(lambda: [a.retain_origins(big.known) for _ in range(20)], [tuple]) / 20
    )
    return found, told / count


def memory(_):
    """Bytes that one member really holds for 1,024 members of three entries, beside the reckoned."""
    tracemalloc.start()
    settings = GossipStoreSettings()
    me = GossipStore("me", 1, settings, random.Random(1))
    parcels = []
    for number in range(1024):
        s = GossipStore(f"edge-{number:04d}", 1, settings, random.Random(1))
        for key in range(ENTRIES):
            s.put(f"key/{key}", number.to_bytes(4, "big") * 10)
        parcels.append(s.full_state(None, 10**5)[0])
        del s
    before = tracemalloc.get_traced_memory()[0]
    for data in parcels:
        me.merge(data)
    me.drain_changes()
    me.broadcasts.clear()
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held, me.size_bytes()


def p99(values):
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * 0.99) - 1)]


def first(pool, seeds, say):
    """Writes, cut, memory."""
    say("## One write, 230 members (two a seed, one after the other)", "")
    say("| passed on c*log2(n) times, c | anti-entropy | rounds median | p99 | most | bytes |")
    say("| --- | --- | --- | --- | --- | --- |")
    for factor, answers in [(2.0, 4), (0.01, 4), (2.0, 0)]:
        got = list(pool.map(one_write, [(s, 230, factor, answers) for s in seeds]))
        rounds = [r for found, _ in got for r in found]
        missed = 0 if answers else sum(r >= 60 for r in rounds)
        note = f" ({missed} of {len(rounds)} not within 60)" if missed else ""
        say(
            f"| {factor if factor > 0.1 else 'once'} | {'yes' if answers else 'no'} |"
            f" {statistics.median(rounds):.0f} | {p99(rounds)} | {max(rounds)}{note} |"
            f" {statistics.mean(b for _, b in got):.0f} |"
        )
    got = list(pool.map(all_write, [(s, 230, 2.0) for s in seeds]))
    say("", "## 230 writes at once, 230 members", "")
    say(
        f"Everywhere after {statistics.median(g[0] for g in got):.0f} rounds (median),"
        f" {p99(g[0] for g in got)} (p99); {statistics.mean(g[1] for g in got):.0f} bytes meanwhile."
    )
    got = list(pool.map(healed, [(s, 230) for s in seeds]))
    say("", "## A cut in two halves of 115 for 40 rounds, 23 writes a round in all, then healed", "")
    say(
        f"One state after {statistics.median(g[0] for g in got):.0f} rounds (median),"
        f" {p99(g[0] for g in got)} (p99); {statistics.mean(g[1] for g in got):.0f} bytes meanwhile."
    )
    say("", "## Memory", "")
    got = list(pool.map(lives, seeds))
    say(
        "20 members that stay, and 1,000 lives of 50 names that come, write 41 entries, lose one by a",
        f"removal and go (seeds 1 to {len(seeds)}, the worst is told): reckoned",
        f"{got[0][0][0]:,} bytes before, at most",
        f"{max(g[1] for g in got):,} meanwhile, {max(g[2][0] for g in got):,} after; allocated",
        f"{got[0][0][1]:,} before, {max(g[2][1] for g in got):,} after; origins held {got[0][3]},",
        f"own entries (removals that are kept) {max(g[4] for g in got)}.",
    )
    held, reckoned = next(iter(pool.map(memory, [0])))
    say(f"1,024 members of {ENTRIES} entries: {held:,} bytes allocated, {reckoned:,} by `size()`.")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--rates", type=int, default=5, help="seeds of each row of bytes")
    parser.add_argument("--large", type=int, default=1, help="seeds of each row at 1,024 members")
    parser.add_argument("--processes", type=int, default=3)
    parser.add_argument("--last", action="store_true", help="cost and bytes alone, added to the result file")
    parser.add_argument("--write", action="store_true")
    args = parser.parse_args()
    seeds = range(1, args.seeds + 1)
    lines = []

    def say(*more):
        lines.extend(more)
        print("\n".join(more), flush=True)
        if args.write:  # after each part: a run that is cut short keeps what it has measured
            (Path(__file__).parent / "results" / "spread.md").write_text("\n".join(lines) + "\n")

    if args.last:
        lines = (Path(__file__).parent / "results" / "spread.md").read_text().splitlines()
    else:
        say(
            "# The spread in rounds",
            "",
            f"`python benchmarks/spread.py --seeds {args.seeds} --rates {args.rates} --large {args.large}`.",
            f"Seeds 1 to {args.seeds}; of bytes by fleet size 1 to {args.rates}, at 1,024 members 1 to"
            f" {args.large}.",
            f"Loss 5 %, {ENTRIES} entries of {SIZE} bytes at each member, datagrams of at most 1,200 bytes,",
            "no other traffic. A round: each member sends one random peer a rumour and a digest slice, and",
            "gets up to four datagrams of delta back (`cressrock/lab/spreadsim.py`). Bytes are the spread's",
            "payloads, sent by one member in one round, on average; headers and the envelope come on top.",
            "",
        )
    with ProcessPoolExecutor(args.processes, initializer=gc.disable) as pool:
        if not args.last:
            first(pool, seeds, say)
        say("", "## Cost (best of five, on a machine shared with other work)", "")
        say("| what | microseconds |", "| --- | --- |")
        found, wide = next(iter(pool.map(_cost, [0])))
        for what, value in found.items():
            say(f"| {what} | {value:.2f} |")
        say("", f"The first four by entry, of {wide:.0f} bytes on the wire.")
        say("", "## Bytes a member and round", "")
        say("`read`: of the writes 20 rounds old and older, not written over, the share a member reads.", "")
        say("| members | writes a round, whole fleet | bytes | rumours | digests | deltas | read |")
        say("| --- | --- | --- | --- | --- | --- | --- |")
        for members in (20, 64, 230, 1024):
            for writes in (0.0, 2.0, 20.0):
                few = range(1, 1 + (args.rates if members < 1000 else args.large))
                got = list(pool.map(rate, [(s, members, writes) for s in few]))
                part = {k: statistics.mean(g[1][k] for g in got) for k in got[0][1]}
                say(
                    f"| {members} | {writes:g} | {statistics.mean(g[0] for g in got):.0f} |"
                    f" {part['fresh']:.0f} | {part['digest']:.0f} | {part['delta']:.0f} |"
                    f" {statistics.mean(g[2] for g in got):.4f} |"
                )


def _cost(_):
    return cost()


if __name__ == "__main__":
    main()
