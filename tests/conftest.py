"""The tests that KNOWN-RED.txt at the root names are expected to fail, each of them strictly.

A line whose last field is `issue N, sometimes` names a test that fails only in some runs: its failure is
passed over, its success is accepted, and the run prints which of the two came.

The file is read once, where the run begins, and handed to the workers of pytest-xdist.  Its lines are held
against the whole collection, not against what this run selects: a run of one file, or with -k, has the same
verdict on them.  A listed test may fail in its setup, its call or its teardown.  A crash of the process that
runs it is not passed over.
"""

import json
import os
import re
import subprocess
import sys
from pathlib import Path
from typing import NamedTuple

import pytest

NAME = "KNOWN-RED.txt"
MOST = 3
SOMETIMES = ", sometimes"
MAX_FAILURE_LINES = 60  # of a failure that is passed over, printed at the end of the run


class Entry(NamedTuple):
    """A line: node id, cause, issue, and whether the test fails in some runs only."""

    test: str
    cause: str
    issue: str
    sometimes: bool = False

    def line(self):
        """Return the entry as it stands in the file."""
        return f"{self.test} | {self.cause} | {self.issue}{SOMETIMES if self.sometimes else ''}"


LISTED = pytest.StashKey[dict[str, Entry]]()
FAILED = pytest.StashKey[bool]()


def read(path):
    """Return the entries by their test; raises pytest.UsageError for what may not stand there."""
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return {}
    except UnicodeDecodeError as wrong:
        raise pytest.UsageError(f"{NAME}: {wrong}") from wrong
    found = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        # From the right: the id of a case may hold the mark, cause and issue may not.
        parts = [part.strip() for part in line.rsplit(" | ", 2)]
        test, cause, issue = parts if len(parts) == 3 else ("", "", "")
        sometimes = issue.endswith(SOMETIMES)
        issue = issue.removesuffix(SOMETIMES)
        if "::" not in test or not cause or not re.fullmatch(r"issue \d+", issue):
            raise pytest.UsageError(
                f"{NAME} line {number}: not 'test | cause | issue NUMBER' (with ', sometimes' behind it "
                f"where the test fails in some runs only): {line}"
            )
        if test in found:
            raise pytest.UsageError(f"{NAME} line {number}: {test} is listed twice")
        found[test] = Entry(test, cause, issue, sometimes)
    if len(found) > MOST:
        raise pytest.UsageError(f"{NAME}: {len(found)} tests are listed, {MOST} at most may be")
    return found


def check(config, entries):
    """Raise pytest.UsageError for tests that a run of everything would not collect.

    Pytest itself collects, in a process of its own, because only it knows the cases of a test.  It opens just
    the files that are named.
    """
    command = [sys.executable, __file__, "--collect-only", "-q", f"--rootdir={config.rootpath}"]
    if config.inipath is not None:
        command += ["-c", str(config.inipath)]
    for plugin in config.option.plugins:
        command += ["-p", plugin]
    if config.pluginmanager.hasplugin("xdist"):
        command += ["-n", "0"]
    # Danger: a selection for this run alone (-k in the variable) would hide a test that is there.
    environment = {name: value for name, value in os.environ.items() if name != "PYTEST_ADDOPTS"}
    done = subprocess.run(
        command,
        cwd=config.rootpath,
        env=environment,
        input=json.dumps(list(entries)),
        capture_output=True,
        text=True,
    )
    if done.returncode not in (pytest.ExitCode.OK, pytest.ExitCode.NO_TESTS_COLLECTED):
        raise pytest.UsageError(f"{NAME}: its tests cannot be collected\n{done.stdout}{done.stderr}")
    collected = json.loads(done.stdout.splitlines()[-1])
    wrongs = []
    for test in entries:
        if test not in collected:
            cases = [name for name in collected if name.startswith(f"{test}[")]
            hint = f"; it has cases, such as {cases[0]}" if cases else ""
            wrongs.append(f"{NAME}: there is no test {test}{hint}")
    if wrongs:
        raise pytest.UsageError(*wrongs)


class Collector:
    """Collects what a run of everything would, of the files that are named; for `check`."""

    def __init__(self, tests):
        self.files = {Path(test.partition("::")[0]).absolute() for test in tests}
        self.found = []

    def pytest_ignore_collect(self, collection_path):
        return True if collection_path.is_file() and collection_path not in self.files else None

    def pytest_collection_finish(self, session):
        self.found = [item.nodeid for item in session.items]


def pytest_configure(config):
    """Read the file, or take what the run's first process has read."""
    worker = getattr(config, "workerinput", None)
    if worker is not None:
        entries = {test: Entry(test, *rest) for test, *rest in worker.get("known_red", [])}
    else:
        entries = read(config.rootpath / NAME)
        if entries and not config.option.collectonly:
            check(config, entries)
    config.stash[LISTED] = entries


@pytest.hookimpl(optionalhook=True)
def pytest_configure_node(node):
    """Hand the entries to a worker of pytest-xdist, so that all judge by the same file."""
    node.workerinput["known_red"] = [list(entry) for entry in node.config.stash[LISTED].values()]


@pytest.hookimpl(wrapper=True, tryfirst=True)
def pytest_runtest_makereport(item, call):
    """Pass over the failure of a listed test; one that ends without any has failed for that."""
    report = yield
    entry = item.config.stash[LISTED].get(item.nodeid)
    if entry is None:
        return report
    if report.failed:
        item.stash[FAILED] = True
        report.outcome = "skipped"
        report.wasxfail = f"{entry.cause} ({entry.issue})"
    elif report.when == "teardown" and not entry.sometimes and not item.stash.get(FAILED, False):
        report.outcome = "failed"
        report.longrepr = f"{item.nodeid} is listed in {NAME} and does not fail: take its line out"
    return report


def pytest_terminal_summary(terminalreporter, config):
    """Print the lines, each with what became of its test in this run."""
    entries = config.stash[LISTED]
    if not entries:
        return
    stats = terminalreporter.stats
    failures = {report.nodeid: report for report in stats.get("xfailed", [])}
    passed_over = failures.keys() - {report.nodeid for report in stats.get("error", [])}
    passed = {report.nodeid for report in stats.get("passed", [])} - passed_over
    terminalreporter.section(f"known red: {len(entries)} of {MOST} lines in {NAME}")
    for entry in entries.values():
        if entry.test in passed_over:
            state = "passed over"
        elif entry.sometimes and entry.test in passed:
            state = "passed in this run"
        else:
            state = "not passed over in this run"
        terminalreporter.line(f"{state}: {entry.line()}")
        if entry.test in passed_over:
            for line in failure_lines(failures[entry.test]):
                terminalreporter.line(f"    {line}")


def failure_lines(report):
    """Return the end of what a failure that is passed over said, so that its cause can be looked for."""
    text = f"{report.longreprtext}\n{report.capstdout}"
    return text.splitlines()[-MAX_FAILURE_LINES:]


if __name__ == "__main__":
    sys.path[0] = str(Path.cwd())  # as `python -m pytest` has it, not this folder
    collector = Collector(json.load(sys.stdin))
    code = pytest.main(sys.argv[1:], plugins=[collector])
    print(f"\n{json.dumps(collector.found)}")
    sys.exit(code)
