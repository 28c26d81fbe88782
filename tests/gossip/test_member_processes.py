"""Members in separate processes over loopback."""

import os
import signal

from tests.gossip.transport_support import MemberProcess, wait_for_processes


def test_five_processes_see_a_kill_a_stop_a_restart_a_duplicate_and_a_leave():
    processes = [MemberProcess("p0", process_incarnation=1)]
    first = processes[0].address
    try:
        processes += [
            MemberProcess(f"p{n}", ["127.0.0.1:1", first], process_incarnation=1) for n in range(1, 5)
        ]
        names = {f"p{n}" for n in range(5)}

        def all_views_are(expected, members):
            return all(p.view == expected for p in members)

        expected = {n: [1, "alive"] for n in names}
        wait_for_processes(lambda: all_views_are(expected, processes), processes)
        # p4 is killed: all others report it as gone.
        processes[4].end()
        rest = processes[:4]
        wait_for_processes(lambda: all_views_are(expected | {"p4": [1, "gone"]}, rest), processes)
        # p4 restarts under its name.
        processes[4] = MemberProcess("p4", [first], process_incarnation=2)
        expected["p4"] = [2, "alive"]
        wait_for_processes(lambda: all_views_are(expected, processes), processes)
        assert all(("MemberRestarted", "p4") in p.events for p in rest)
        # p2 is suspended until the others report it as gone; once resumed, it must not declare others dead.
        stopped = processes[2]
        os.kill(stopped.process.pid, signal.SIGSTOP)
        others = [p for p in processes if p is not stopped]
        wait_for_processes(lambda: all_views_are(expected | {"p2": [1, "gone"]}, others), processes)
        before = len(stopped.events)
        os.kill(stopped.process.pid, signal.SIGCONT)
        wait_for_processes(lambda: all_views_are(expected, processes), processes)
        assert all(("MemberRecovered", "p2") in p.events for p in others)
        assert "MemberDead" not in [kind for kind, _ in stopped.events[before:]]
        # A second process uses the name p3: the older one reports that it is fenced, and exits.
        duplicate = MemberProcess("p3", [first], process_incarnation=9)
        old, processes[3] = processes[3], duplicate
        processes.append(old)
        assert old.process.wait(60) == 3
        old.reader.join()
        assert ("Fenced", "p3") in old.events and old.lines[-1]["error"] == "fleet-fenced"
        expected["p3"] = [9, "alive"]
        wait_for_processes(lambda: all_views_are(expected, processes[:5]), processes)
        # p1 leaves gracefully.
        processes[1].process.send_signal(signal.SIGTERM)
        assert processes[1].process.wait(60) == 0
        rest = [processes[0], *processes[2:5]]
        wait_for_processes(lambda: all_views_are(expected | {"p1": [1, "left"]}, rest), processes)
        assert not any(("MemberDead", "p1") in p.events for p in rest), [p.events for p in rest]
    finally:
        for process in processes:
            process.end()
