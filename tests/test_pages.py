"""Every block of the pages a new user begins with runs as it is written there, until it serves a request.

The blocks are read from the pages.  Nothing of them is changed but addresses: each host:port of a page or of
a settings file becomes one of loopback with a port of the system, the same one wherever it stands.  So what
collides as written collides here.  A line that is neither run nor named in NOT_RUN fails, and so does a line
of NOT_RUN that no page has any more.
"""

import json
import os
import re
import shutil
import socket
import subprocess
import sys
import time
from pathlib import Path

import httpx
import pytest

from cressrock.cli.main import app
from cressrock.settings.load import evaluate_text

ROOT = Path(__file__).parent.parent
PAGES = ("README.md", "docs/pair.md", "docs/fleet.md", "docs/presence.md")
ADDRESS = re.compile(r"\b(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}\b")
BOUND_S = 900  # against a hang alone: no verdict hangs on how long anything takes

INSTALLS = (
    "sets up a venv and installs from the registry; days are played by tests/programs/test_command_line.py"
)
KIT = "needs the operators' kit beside the repository, which is not part of it"
DRAWING = "a drawing"
NOT_RUN = {
    ("README.md", "make demo"): INSTALLS,
    ("README.md", "make test"): "this very run, behind setting up a venv",
    ("README.md", "../given/kit/bin/lbsim check ../given/kit/sites/milano-nord.toml"): KIT,
    (
        "README.md",
        "../given/kit/bin/lbsim score ../given/kit/sites/milano-nord.toml "
        '--why "what is tried, what is expected"',
    ): KIT,
    ("docs/pair.md", "client -> edge (front, ledger, driver) -> nodes"): DRAWING,
    ("docs/pair.md", "| events up, grants down (link: MessagePack frames, credit, heartbeats)"): DRAWING,
    ("docs/pair.md", "planner (decision module)"): DRAWING,
}
# By their first words: what serves until it is ended, and the word that its first line has once it does.
SERVERS = {
    ("cressrock", "lab", "nodes"): "list",
    ("cressrock", "lab", "serve"): "url",
    ("cressrock", "serve"): "serving",
    ("cressrock", "edge"): "serving",
    ("cressrock", "plan"): "planning",
}
ENDS = (("cressrock", "check"), ("curl",))  # what ends by itself, and well
ALONE = ("cressrock", "lab", "day")  # reckoned by one core for long: a test of its own for each
WAY_OUT = ("python", "-m", "cressrock.consensus.recover")  # wants a council that was lost: a test of its own


# What pages name beside the commands that `--help` has.
OUTSIDE = {
    "platform": "taken before the command line is read: tests/test_platform.py",
    "status": "docs/pair.md, under what is not there yet",
}

# --- the pages


def blocks(page):
    """Return a page's blocks as (section, kind, lines): fenced ones by their word, indented ones as ''."""
    found, section, fence, lines, before = [], "", None, [], ""
    for line in [*(ROOT / page).read_text().splitlines(), "# end"]:
        if fence is not None:
            if line.startswith("```"):
                found.append((section, fence, lines))
                fence, lines = None, []
            else:
                lines.append(line)
        elif line.startswith("```"):
            fence = line[3:].strip() or "fenced"
        elif line.startswith("    ") and (lines or not before.strip()):
            lines.append(line[4:])
        elif lines and line.strip():
            found.append((section, "", lines))
            lines = []
        if fence is None and line.startswith("#"):
            section = line.lstrip("# ")
        before = line
    assert fence is None and not lines
    return found


def kind_of(kind, lines):
    """Return what a block is: python, settings (fields of a settings file) or commands."""
    if kind:
        return kind
    return "settings" if re.match(r"\w+: ", lines[0]) else "commands"


def commands(lines):
    """Return a block's commands without their comments."""
    return [found for line in lines if (found := re.sub(r"\s+#.*", "", line).strip())]


def sections(page):
    """Return the commands of each section that has any: they are one user's, at one machine."""
    found = {}
    for section, kind, lines in blocks(page):
        if kind_of(kind, lines) == "commands":
            found.setdefault(section, []).extend(commands(lines))
    return found


def begins(command, what):
    return tuple(command.split()[: len(what)]) == what


def target(command):
    """Return the first words by which a command is known as one that serves; None if it is none."""
    return next((what for what in SERVERS if begins(command, what)), None)


def inner(command):
    """Return what a `make` target runs once its venv stands, in the words of the command line."""
    goal = command.split()[1]
    (recipe,) = re.findall(rf"^{goal}: \$\(PY\)\n((?:\t.*\n)+)", (ROOT / "Makefile").read_text(), re.M)
    (line,) = recipe.strip().splitlines()
    assert line.startswith("$(PY) -m cressrock ")
    return line.removeprefix("$(PY) -m ")


DAYS = [
    (page, line)
    for page in PAGES
    for found in sections(page).values()
    for line in found
    if begins(line, ALONE)
]
CASES = [(page, section) for page in PAGES for section in sections(page)]


# --- where they run


class Place:
    """A copy of what the pages' commands read, on ports that are this place's own."""

    def __init__(self, folder):
        self.folder = folder
        self.addresses = {}
        self.holders = []
        self.running = []
        shutil.copytree(ROOT / "examples", folder / "examples")
        shutil.copy(ROOT / "README.md", folder)
        (folder / "bin").mkdir()
        for name, module in (("cressrock", "-m cressrock"), ("python", "")):
            tool = folder / "bin" / name
            tool.write_text(f'#!/bin/sh\nexec "{sys.executable}" {module} "$@"\n')
            tool.chmod(0o755)
        for path in (folder / "examples").rglob("*.jsonnet"):
            path.write_text(self.mapped(path.read_text()))

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for process, _ in self.running:
            if process.poll() is None:
                process.kill()
                process.wait()
        for holder in self.holders:
            holder.close()

    def mapped(self, text):
        """Return a text with each address in it replaced by its own one here."""
        return ADDRESS.sub(lambda found: self.address(found.group()), text)

    def address(self, written):
        """Return the loopback address that stands for a written one: port 0 stays the system's choice."""
        if written.endswith(":0"):
            return "127.0.0.1:0"
        if written not in self.addresses:
            # Danger: a port that is only looked up is taken by a test beside this one before it is bound.
            # Held like this nobody is given it, and a listener may still bind it.
            holder = socket.socket()
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind(("127.0.0.1", 0))
            self.holders.append(holder)
            self.addresses[written] = f"127.0.0.1:{holder.getsockname()[1]}"
        return self.addresses[written]

    def start(self, command):
        """Run a line by the shell; returns the process and the file of all that it says."""
        output = self.folder / f"said-{len(self.running)}"
        environment = os.environ | {
            "PATH": f"{self.folder / 'bin'}:{os.environ['PATH']}",
            "PYTHONPATH": str(ROOT),
        }
        with output.open("wb") as file:
            process = subprocess.Popen(
                ["sh", "-c", f"exec {self.mapped(command)}"],
                cwd=self.folder,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=file,
                stderr=subprocess.STDOUT,
            )
        self.running.append((process, output))
        return process, output

    def run(self, command):
        """Run a line that ends by itself; returns what it said."""
        process, output = self.start(command)
        code = process.wait(BOUND_S)
        assert code == 0, f"{command}: {code}: {output.read_text()[-2000:]}"
        return output.read_text()

    def serve(self, command, word):
        """Start a line that serves; returns its process and the JSON line in which it says where."""
        process, output = self.start(command)

        def line():
            assert process.poll() is None, f"{command}: {process.returncode}: {output.read_text()[-2000:]}"
            for said in output.read_text().splitlines():
                if said.startswith("{") and said.endswith("}"):
                    found = json.loads(said)
                    if word in found or found.get("event") == word:
                        return found
            return None

        return process, until(line, command)

    def end(self, process):
        """Have a process end in order, by its id."""
        process.terminate()
        process.wait(BOUND_S)


def until(look, what):
    """Look again and again; returns what was found."""
    end = time.monotonic() + BOUND_S
    while time.monotonic() < end:
        found = look()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f"{what}: not within {BOUND_S} s")


def ask(url, method="GET", **more):
    """Return an answer; None while nobody answers, or the one who does is not ready."""
    try:
        found = httpx.request(method, url, timeout=30, **more)
    except httpx.TransportError:
        return None
    return found if found.status_code < 500 else None


def served(what, line, edges):
    """Have a process serve a request, by what it said of itself; `edges` should have joined."""
    if what == ("cressrock", "lab", "nodes"):
        assert until(lambda: ask(f"http://{line['list']}/"), "the node list") is not None
        return
    if what != ("cressrock", "plan"):
        url = f"http://{line['address']}/demo/as-written"
        put = until(lambda: ask(url, "PUT", content=b"x" * 100), url)
        assert put.status_code in (201, 204), put.text
        got = until(lambda: ask(url), url)
        assert (got.status_code, got.content) == (200, b"x" * 100)
    if line["admin"] is not None:
        assert until(lambda: ask(f"http://{line['admin']}/healthz"), "admin").text == "ok\n"
    if what == ("cressrock", "plan"):
        url = f"http://{line['admin']}/v1/status"
        # An edge that a busy machine kept from the link for long joins again.
        until(lambda: (found := ask(url)) and found.json()["edges"] == edges, f"edges {edges} at {url}")


# --- the tests


@pytest.mark.parametrize(("page", "section"), CASES)
def test_the_commands_of_a_section_run_as_written(page, section, tmp_path):
    """What serves is left running to the section's end, as by a user with a terminal for each."""
    open_ = []
    lines = [line for line in sections(page)[section] if (page, line) not in NOT_RUN]
    if any(begins(line, ("curl",)) for line in lines) and shutil.which("curl") is None:
        raise AssertionError("curl is not installed")
    with Place(tmp_path) as place:
        for line in lines:
            if line.startswith("make "):
                # Its address is the program's own default, which stands in the page.
                line = f"{inner(line)} --listen 127.0.0.1:8080"
            command = line.removesuffix("&").strip()
            what = target(command)
            if what is not None:
                open_.append((what, *place.serve(command, SERVERS[what])))
            elif any(begins(command, one) for one in ENDS):
                place.run(command)
            elif not (begins(command, ALONE) or begins(command, WAY_OUT)):
                raise AssertionError(f"{page}: neither run nor named in NOT_RUN: {line}")
        edges = []
        for what, _, line in sorted(open_, key=lambda one: one[0] == ("cressrock", "plan")):
            served(what, line, edges)
            if what == ("cressrock", "edge"):
                edges.append(line["dispatcher"])
        for _, process, line in open_:
            assert process.poll() is None, line
            place.end(process)
            assert process.returncode == 0, line


@pytest.mark.parametrize(("page", "line"), DAYS)
def test_a_day_of_a_page_is_played_as_written(page, line, tmp_path):
    with Place(tmp_path) as place:
        said = place.run(line)
    assert re.findall(r"^rule (\d) .* kept ", said, re.M) == list("1234567"), said[:2000]


@pytest.mark.parametrize(("page", "section"), CASES)
def test_what_a_section_runs_together_has_addresses_of_its_own(page, section):
    """By `cressrock check` of the files as they are: no two processes of a section have one address."""
    seen = {}
    for line in sections(page)[section]:
        command = line.removesuffix("&").strip()
        what, words = target(command), command.split()
        if what is None:
            continue
        if what[1] == "lab":
            used = {"--listen": words[words.index("--listen") + 1]}
        else:
            run = subprocess.run(
                [sys.executable, "-m", "cressrock", "check", words[2]],
                capture_output=True,
                text=True,
                cwd=ROOT,
            )
            assert run.returncode == 0, run.stderr
            found = json.loads(run.stdout)
            own = [("pair" if what[1] == "plan" else "front", "listen"), ("observe", "admin")]
            own += [("fleet", "listen")] if found["fleet"] else []
            own += [("council", "listen")] if (found["council"] or {}).get("store") else []
            used = {f"{part}.{field}": found[part][field] for part, field in own if found[part][field]}
        for setting, address in used.items():
            assert address not in seen, f"{address}: {setting} of '{line}', and {seen.get(address)}"
            seen[address] = f"{setting} of '{line}'"


def test_settings_on_a_page_make_a_council_and_its_way_out_works(tmp_path):
    """docs/fleet.md: its settings at each seat, a leader, and then the lost majority's command."""
    (text,) = [
        "\n".join(lines) for _, kind, lines in blocks("docs/fleet.md") if kind_of(kind, lines) == "settings"
    ]
    (way_out,) = [
        line for lines in sections("docs/fleet.md").values() for line in lines if begins(line, WAY_OUT)
    ]
    written = evaluate_text("page", f"{{ {text}\n}}")
    assert "name" in written, "a seat's settings say which seat it is"
    seats, first = written["council"]["seats"], written["name"]
    assert written["council"]["listen"] == seats[first]
    # One process cannot listen at two machines' addresses; on loopback that would not be seen.
    assert len({written[part]["listen"].rpartition(":")[0] for part in ("fleet", "council")}) == 1
    (tmp_path / "state").mkdir()
    with Place(tmp_path) as place:
        # The pages' state directory is the machine's: here it is the place's own.
        block = place.mapped(text).replace("/var/lib/cressrock/", f"{tmp_path}/state/")
        assert "/var/" not in block
        fleet = [written["fleet"]["listen"], *written["fleet"]["seeds"]]
        running = {}
        for name, seat in seats.items():
            host = seat.rpartition(":")[0]
            (own,) = [one for one in fleet if one.rpartition(":")[0] == host]
            others = [place.address(one) for one in fleet if one != own]
            more = {
                "name": name,
                "pair": {"listen": "127.0.0.1:0"},
                "observe": {"admin": "127.0.0.1:0"},
                "council+": {"listen": place.address(seat), "store": f"{tmp_path}/state/{name}"},
                "fleet+": {
                    "listen": place.address(own),
                    "seeds": others,
                    "life_file": f"{tmp_path}/state/{name}.life",
                },
            }
            changes = "" if name == first else " + " + json.dumps(more).replace('+":', '"+:')
            # What all planners of one machine would share is each one's own; the first's block is as written.
            mine = json.dumps({key: more[key] for key in ("pair", "observe")})
            path = tmp_path / "examples" / f"{name}.jsonnet"
            path.write_text(f"(import 'planner.jsonnet') + {mine} + {{ {block}\n}}{changes}\n")
            running[name] = place.serve(f"cressrock plan examples/{name}.jsonnet", "planning")

        def status(name):
            answer = ask(f"http://{running[name][1]['admin']}/v1/status")
            return answer.json()["fleet"] if answer is not None else None

        def together():
            found = [status(name) for name in seats]
            return all(
                one and len(one["members"]) == len(seats) and one["seat"] and one["seat"]["leader"]
                for one in found
            )

        until(together, "three members and a leader")
        for process, _ in running.values():
            place.end(process)
        (store,) = re.findall(r"store: '([^']*)'", block)
        command = way_out.replace("STORE", store).replace("NAME", "cressrock").replace("SEAT", first)
        assert "What this may cost" in place.run(command)


def test_the_python_of_a_page_runs():
    found = [lines for page in PAGES for _, kind, lines in blocks(page) if kind == "python"]
    assert found
    for lines in found:
        run = subprocess.run(
            [sys.executable, "-c", "\n".join(lines)],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=BOUND_S,
        )
        assert run.returncode == 0, run.stderr


def test_no_block_is_passed_over():
    """Each line of NOT_RUN stands in its page; each block is of a kind that is run."""
    lines = {(page, line) for page in PAGES for found in sections(page).values() for line in found}
    assert set(NOT_RUN) <= lines, set(NOT_RUN) - lines
    kinds = {(page, kind_of(kind, lines)) for page in PAGES for _, kind, lines in blocks(page)}
    assert {kind for _, kind in kinds} <= {"commands", "python", "settings"}, kinds
    assert [page for page, kind in kinds if kind == "settings"] == ["docs/fleet.md"]


@pytest.mark.parametrize("page", PAGES)
def test_what_a_page_names_is_there(page):
    """Files by their path, commands by their first words."""
    text = (ROOT / page).read_text()
    rooms = "benchmarks|cressrock|deploy|docs|examples|tests"
    for path in re.findall(rf"`((?:{rooms})/[\w./-]*)`", text):
        assert (ROOT / path).exists(), path
    for words in {tuple(found.split()) for found in re.findall(r"`cressrock ((?:[a-z]+ ?)+)", text)}:
        if words[0] in OUTSIDE:
            continue
        place = app
        for word in words[: 2 if words[0] == "lab" else 1]:
            assert word in place, (page, words)
            place = place[word]
