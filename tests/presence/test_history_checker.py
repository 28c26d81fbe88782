"""The checker of watchers' histories reports each kind of violation."""

from cressrock.lab.presence_check import Act, Claimed, Told, Watched, check, check_names


def test_checker_reports_each_kind_of_violation():
    def findings_of(*answers, acts=()):
        return check(list(acts), [Watched("w", "docs", list(answers))], grace_ms=100)

    def events(*each):
        return Told(50.0, None, [{"seq": n + 1, "gateway": "b", **one} for n, one in enumerate(each)])

    join, leave = {"event": "join", "member": "m"}, {"event": "leave", "member": "m"}
    initial = Told(0.0, {})
    assert not findings_of(initial, events(join))
    assert "joins twice" in findings_of(initial, events(join, join))[0]
    assert "who is not known" in findings_of(initial, events(leave))[0]
    assert "its client did not" in findings_of(initial, events(join, leave))[0]
    assert not findings_of(initial, events(join, leave), acts=[Act("leave", "docs", "m", 1.0, 2.0)])
    silent = {**leave, "why": "silent"}
    assert (
        "by silence"
        in findings_of(initial, events(join, silent), acts=[Act("touch", "docs", "m", 1.0, 2.0)])[0]
    )
    assert "nobody said" in findings_of(initial, events(join, {**leave, "why": "time"}))[0]
    assert "without resync" in findings_of(initial, initial)[0]
    gap = events(join)
    gap.events[0]["seq"] = 1
    assert (
        "event 3 after 1"
        in findings_of(initial, gap, Told(60.0, None, [{"seq": 3, **leave, "why": "closed"}]))[0]
    )
    claim = Claimed("docs", "n", "m", 5, 0.0, 1.0)
    assert not check_names([claim, claim])
    assert "two holders" in check_names([claim, Claimed("docs", "n", "k", 5, 0.0, 1.0)])[0]
    assert "given after" in check_names([claim, Claimed("docs", "n", "k", 4, 2.0, 3.0)])[0]
