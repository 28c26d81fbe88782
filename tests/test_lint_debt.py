"""The list of lint rules that single files do not keep yet only shrinks: what is kept by now has to leave it."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent


def per_file_ignores():
    """Return what pyproject.toml ignores: by patterns for whole folders, and by file."""
    ignores = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["ruff"]["lint"]["per-file-ignores"]
    patterns = {name: codes for name, codes in ignores.items() if "*" in name}
    return patterns, {name: set(codes) for name, codes in ignores.items() if "*" not in name}


def broken_rules(patterns):
    """Return by file the codes of the rules that are broken where only the patterns are ignored."""
    table = ", ".join(f'"{name}" = {json.dumps(codes)}' for name, codes in patterns.items())
    command = [sys.executable, "-m", "ruff", "check", "--no-cache", "--output-format", "json"]
    command += ["--config", f"lint.per-file-ignores = {{ {table} }}", "."]
    result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True)
    assert result.returncode in (0, 1), result.stderr
    broken = {}
    for finding in json.loads(result.stdout):
        name = Path(finding["filename"]).relative_to(ROOT).as_posix()
        broken.setdefault(name, set()).add(finding["code"])
    return broken


def test_rules_that_a_file_keeps_are_not_ignored_for_it():
    patterns, files = per_file_ignores()
    broken = broken_rules(patterns)
    kept = {name: sorted(codes - broken.get(name, set())) for name, codes in files.items()}
    assert {name: codes for name, codes in kept.items() if codes} == {}
