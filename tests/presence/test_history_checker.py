"""The checker of watchers' histories finds what is wrong with them."""

from cressrock.lab.presence_check import Act, Claimed, Told, Watched, check, check_names


def test_the_checker_finds_what_is_wrong():
    def found(*told, acts=()):
        return check(list(acts), [Watched("w", "docs", list(told))], grace_ms=100)

    def events(*each):
        return Told(50.0, None, [{"seq": n + 1, "gateway": "b", **one} for n, one in enumerate(each)])

    join, leave = {"event": "join", "member": "m"}, {"event": "leave", "member": "m"}
    first = Told(0.0, {})
    assert not found(first, events(join))
    assert "joins twice" in found(first, events(join, join))[0]
    assert "who is not known" in found(first, events(leave))[0]
    assert "its client did not" in found(first, events(join, leave))[0]
    assert not found(first, events(join, leave), acts=[Act("leave", "docs", "m", 1.0, 2.0)])
    silent = {**leave, "why": "silent"}
    assert "by silence" in found(first, events(join, silent), acts=[Act("touch", "docs", "m", 1.0, 2.0)])[0]
    assert "nobody said" in found(first, events(join, {**leave, "why": "time"}))[0]
    assert "without resync" in found(first, first)[0]
    gap = events(join)
    gap.events[0]["seq"] = 1
    assert "event 3 after 1" in found(first, gap, Told(60.0, None, [{"seq": 3, **leave, "why": "closed"}]))[0]
    one = Claimed("docs", "n", "m", 5, 0.0, 1.0)
    assert not check_names([one, one])
    assert "two holders" in check_names([one, Claimed("docs", "n", "k", 5, 0.0, 1.0)])[0]
    assert "given after" in check_names([one, Claimed("docs", "n", "k", 4, 2.0, 3.0)])[0]
