"""Members in processes of their own over loopback."""

import os
import signal

from tests.gossip.transport_support import MemberProcess, wait_for


def test_five_processes_see_a_kill_a_stop_a_restart_a_duplicate_and_a_leave():
    processes = [MemberProcess("p0", life=1)]
    first = processes[0].address
    try:
        processes += [MemberProcess(f"p{n}", ["127.0.0.1:1", first], life=1) for n in range(1, 5)]
        names = {f"p{n}" for n in range(5)}

        def all_say(wanted, who):
            return all(p.view == wanted for p in who)

        wanted = {n: [1, "alive"] for n in names}
        wait_for(lambda: all_say(wanted, processes), processes)
        # Killed: gone, for all others.
        processes[4].end()
        rest = processes[:4]
        wait_for(lambda: all_say(wanted | {"p4": [1, "gone"]}, rest), processes)
        # Back under its name.
        processes[4] = MemberProcess("p4", [first], life=2)
        wanted["p4"] = [2, "alive"]
        wait_for(lambda: all_say(wanted, processes), processes)
        assert all(("MemberRestarted", "p4") in p.events for p in rest)
        # Stopped for long: gone for the others, while it runs not; awake again it accuses nobody.
        stopped = processes[2]
        os.kill(stopped.process.pid, signal.SIGSTOP)
        others = [p for p in processes if p is not stopped]
        wait_for(lambda: all_say(wanted | {"p2": [1, "gone"]}, others), processes)
        before = len(stopped.events)
        os.kill(stopped.process.pid, signal.SIGCONT)
        wait_for(lambda: all_say(wanted, processes), processes)
        assert all(("MemberRecovered", "p2") in p.events for p in others)
        assert "MemberDead" not in [kind for kind, _ in stopped.events[before:]]
        # A second process under a name: the older says so and ends by itself.
        duplicate = MemberProcess("p3", [first], life=9)
        old, processes[3] = processes[3], duplicate
        processes.append(old)
        assert old.process.wait(60) == 3
        old.reader.join()
        assert ("Fenced", "p3") in old.events and old.lines[-1]["error"] == "fleet-fenced"
        wanted["p3"] = [9, "alive"]
        wait_for(lambda: all_say(wanted, processes[:5]), processes)
        # Left in order.
        processes[1].process.send_signal(signal.SIGTERM)
        assert processes[1].process.wait(60) == 0
        rest = [processes[0], *processes[2:5]]
        wait_for(lambda: all_say(wanted | {"p1": [1, "left"]}, rest), processes)
        assert not any(("MemberDead", "p1") in p.events for p in rest)
    finally:
        for process in processes:
            process.end()
