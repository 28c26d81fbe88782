"""Error types: docs/errors.md lists each of them, with a unique code and a remedy for operators."""

from pathlib import Path

from cressrock.errors import CressrockError, known
from cressrock.errors.__main__ import page


def test_the_errors_page_lists_every_type_and_codes_are_unique():
    text = page()
    assert (Path(__file__).parent.parent / "docs" / "errors.md").read_text() == text
    codes = [kind.code for kind in known() if kind.__module__.startswith("cressrock.")]
    assert len(set(codes)) == len(codes)


def test_each_error_type_defines_its_own_code_remedy_and_docstring():
    page()
    for kind in known():
        assert "code" in vars(kind), kind
        assert "remedy" in vars(kind), kind
        assert len(kind.remedy) > 15, kind
        assert kind.__doc__
        error = kind("a text")
        assert error.fields() == {"error": kind.code, "text": "a text", "remedy": kind.remedy}
        assert "a text" in str(error)
        assert kind.remedy in str(error)
    assert issubclass(CressrockError, Exception)
