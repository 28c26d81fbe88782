"""Every path and every module that a page cites exists."""

import importlib.util
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ["README.md", *sorted(str(page.relative_to(ROOT)) for page in (ROOT / "docs").glob("*.md"))]
CODE_SPAN = re.compile(r"`([^`\n]+)`")
CITED_PATH = re.compile(
    r"(?<![\w./-])((?:\.ci|benchmarks|cressrock|deploy|docs|examples|journal|tests)/[\w./*-]*[\w/])"
)
CITED_MODULE = re.compile(r"(?<![\w./-])(cressrock(?:\.[a-z_]+)+)(?![\w/])")
NOT_MODULES = {
    "cressrock.elsewhere": "a metric of the load reports",
    "cressrock.libsonnet": "a file of the settings' library",
    "cressrock.used": "a metric of the load reports",
}


def cited(page, pattern):
    """Return what the page's code spans cite, in order."""
    spans = CODE_SPAN.findall((ROOT / page).read_text())
    return [match for span in spans for match in pattern.findall(span)]


def path_exists(path):
    return any(ROOT.glob(path)) or (ROOT / f"{path}.py").exists()


@pytest.mark.parametrize("page", PAGES)
def test_paths_that_a_page_cites_exist(page):
    assert [path for path in cited(page, CITED_PATH) if not path_exists(path)] == []


@pytest.mark.parametrize("page", PAGES)
def test_modules_that_a_page_cites_can_be_found(page):
    names = [name for name in cited(page, CITED_MODULE) if name not in NOT_MODULES]
    assert [name for name in names if importlib.util.find_spec(name) is None] == []
