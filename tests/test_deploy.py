"""deploy/balancer.toml: what `build` leaves when it is broken off, what `run` starts, what `node` names."""

import ast
import json
import os
import pathlib
import shlex
import subprocess
import sys
import tomllib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())

# Stand-ins for what `build` calls.  Each writes down its call; at the step that STEP names, the whole process
# group is killed, or the program fails.  `.venv/lib` holds what pip installed; a rest while a venv is made.
HELP = """#!/bin/sh
echo "${0##*/} $*" >>"$CALLS"
step() {
    [ "$STEP" != "$1" ] || if [ "$END" = killed ]; then kill -KILL 0; else exit 1; fi
}
"""
PYTHON3 = """
step "venv not begun"
mkdir -p .venv/bin .venv/lib
touch .venv/lib/rest
step "venv half made"
cp "$STAGE/python" "$STAGE/pip" .venv/bin
rm .venv/lib/rest
step "venv made"
"""
PIP = """
step "nothing installed"
# Danger: pip takes what it finds for installed, whole or not.
if [ ! -e .venv/lib/first ]; then
    echo half >.venv/lib/first
    step "half installed"
    cat requirements.txt >.venv/lib/first
fi
[ -e .venv/lib/second ] || cat constraints.txt >.venv/lib/second
step "all installed"
"""
PYTHON = """
echo "$$"
step "nothing compiled"
"""
RM = """
[ "$2" != .venv ] || [ "$STEP" != "half removed" ] || { /bin/rm .venv/lib/first; step "half removed"; }
exec /bin/rm "$@"
"""
STEPS = [
    "venv not begun",
    "venv half made",
    "venv made",
    "nothing installed",
    "half installed",
    "all installed",
    "nothing compiled",
]
WHOLE = ["python3 -m venv .venv", "pip -q install -r requirements.txt", "python -m compileall -q cressrock"]
FINISHED = ["python -m compileall -q cressrock"]  # which looks at the times of files that are compiled


class Ground:
    """A folder in which a build line is played."""

    def __init__(self, path):
        self.root = path / "root"
        self.stage = path / "stage"
        self.calls = path / "calls"
        self.root.mkdir()
        self.stage.mkdir()
        for name, text in (("python3", PYTHON3), ("pip", PIP), ("python", PYTHON), ("rm", RM)):
            (self.stage / name).write_text(HELP + text)
            (self.stage / name).chmod(0o755)
        self.want("anyio", "anyio==1")

    def want(self, requirements, constraints):
        self.wanted = {"first": requirements, "second": constraints}
        (self.root / "requirements.txt").write_text(requirements)
        (self.root / "constraints.txt").write_text(constraints)

    def start(self, line, step="", end=""):
        return subprocess.Popen(
            ["/bin/sh", "-c", line],
            cwd=self.root,
            env={
                "PATH": f"{self.stage}:{os.defpath}",
                "STAGE": str(self.stage),
                "CALLS": str(self.calls),
                "STEP": step,
                "END": end,
            },
            stdout=subprocess.PIPE,
            start_new_session=True,
        )

    def build(self, step="", end=""):
        """Return the exit code and the calls, those of `rm` left out."""
        self.calls.write_text("")
        process = self.start(DEPLOY["build"], step, end)
        process.communicate()
        calls = self.calls.read_text().splitlines()
        return process.returncode, [call for call in calls if not call.startswith("rm ")]

    def works(self):
        """Tell whether `.venv` is whole and holds what is wanted now."""
        lib = self.root / ".venv" / "lib"
        return {path.name: path.read_text() for path in lib.iterdir()} == self.wanted


@pytest.fixture
def ground(tmp_path):
    return Ground(tmp_path)


@pytest.mark.parametrize("end", ["killed", "failed"])
@pytest.mark.parametrize("step", STEPS)
def test_a_build_that_was_broken_off_is_made_good_by_the_next(ground, step, end):
    code, _ = ground.build(step, end)
    assert code != 0
    code, calls = ground.build()
    assert code == 0
    assert calls == (FINISHED if step == "nothing compiled" else WHOLE)
    assert ground.works()
    assert ground.build() == (0, FINISHED)


def test_a_finished_build_is_not_made_anew(ground):
    assert ground.build() == (0, WHOLE)
    assert ground.build() == (0, FINISHED)
    assert ground.works()


@pytest.mark.parametrize("changed", [("anyio h11", "anyio==1"), ("anyio", "anyio==2")])
@pytest.mark.parametrize("step", ["", *STEPS[:-1]])
def test_changed_requirements_are_built_anew(ground, changed, step):
    ground.build()
    ground.want(*changed)
    if step:
        assert ground.build(step, "killed")[0] != 0
    assert ground.build() == (0, WHOLE)
    assert ground.works()


def test_requirements_that_change_while_they_are_installed_are_built_anew(ground):
    pip = ground.stage / "pip"
    pip.write_text(pip.read_text() + "echo anyio h11 >requirements.txt\n")
    assert ground.build() == (0, WHOLE)
    ground.wanted["first"] = "anyio h11\n"
    assert ground.build() == (0, WHOLE)
    assert ground.works()


def test_requirements_that_change_back_after_a_broken_removal_are_built_anew(ground):
    ground.build()
    ground.want("anyio h11", "anyio==1")
    assert ground.build("half removed", "killed")[0] != 0
    ground.want("anyio", "anyio==1")
    assert ground.build() == (0, WHOLE)
    assert ground.works()


def test_a_folder_that_an_earlier_line_left_half_made_is_built_anew(ground):
    (ground.root / ".venv" / "lib").mkdir(parents=True)
    (ground.root / ".venv" / "lib" / "rest").touch()
    assert ground.build() == (0, WHOLE)
    assert ground.works()


@pytest.mark.parametrize("name", ["run", "sim"])
def test_the_program_takes_the_place_of_the_shell(ground, name):
    ground.build()
    process = ground.start(DEPLOY[name])
    assert process.communicate()[0].split() == [str(process.pid).encode()]
    assert DEPLOY[name].startswith("exec ")


LOADED = """
import json, runpy, sys
module, *sys.argv[1:] = sys.argv[1:]
try:
    runpy.run_module(module, run_name="__main__", alter_sys=True)
except SystemExit:
    pass
print(json.dumps([module.__file__ for module in sys.modules.values() if getattr(module, "__file__", None)]))
"""


@pytest.fixture(scope="module")
def loaded():
    """What `run` loads of the repository; without a configuration it ends right after."""
    words = shlex.split(DEPLOY["run"])
    assert words[:3] == ["exec", ".venv/bin/python", "-m"]
    environment = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
    done = subprocess.run(
        [sys.executable, "-c", LOADED, *words[3:]], cwd=ROOT, env=environment, capture_output=True, text=True
    )
    files = [pathlib.Path(name).resolve() for name in json.loads(done.stdout)]
    inside = {str(file.relative_to(ROOT)) for file in files if file.is_relative_to(ROOT / "cressrock")}
    return inside | {f"{words[3]}/__main__.py"}  # runpy takes this one out again


def test_node_and_policy_name_what_run_loads_and_nothing_else(loaded):
    assert "cressrock/platform/program.py" in loaded
    named = DEPLOY["node"] + DEPLOY["policy"]
    for name in named:
        assert (ROOT / name).exists()

    def covers(name, file):
        return file == name or file.startswith(f"{name}/")

    assert [file for file in sorted(loaded) if not any(covers(name, file) for name in named)] == []
    assert [name for name in named if not any(covers(name, file) for file in loaded)] == []


def test_what_run_loads_imports_nothing_later(loaded):
    # Else the list above would not be whole.  The command line chooses the command before it loads it.
    for file in loaded - {"cressrock/cli/start.py"}:
        for part in ast.walk(ast.parse((ROOT / file).read_text())):
            if isinstance(part, ast.FunctionDef | ast.AsyncFunctionDef):
                inner = [x for x in ast.walk(part) if isinstance(x, ast.Import | ast.ImportFrom)]
                assert inner == [], f"{file}:{part.lineno} {part.name}"
