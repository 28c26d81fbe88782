"""KNOWN-RED.txt: what a run of pytest makes of its lines, in one process and with pytest-xdist's workers."""

import pathlib

import pytest

from tests import conftest

ROOT = pathlib.Path(__file__).parent.parent
pytest_plugins = ["pytester"]

TESTS = """
import os
import pytest

def test_red(): assert 1 == 2
def test_green(): pass
@pytest.mark.skip
def test_left_out(): pass
@pytest.mark.xfail
def test_expected(): assert False

@pytest.fixture
def broken(): raise OSError("no ground")
def test_setup(broken): pass

@pytest.fixture
def unclean():
    yield
    assert 1 == 2, "left behind"
def test_teardown(unclean): pass

@pytest.mark.parametrize("case", ["a", "b | c"])
def test_cases(case): assert case == "a"

class TestGroup:
    def test_red(self): assert False

def test_crash(): os._exit(3)
"""
ALONE = ("-p", "no:xdist")
SPREAD = ("-p", "xdist", "-n", "2")
both = pytest.mark.parametrize("how", [ALONE, SPREAD], ids=["alone", "spread"])


def name(test):
    return test if "/" in test or "test_outside.py" in test else f"tests/test_it.py::{test}"


def line(test, cause="the cause", issue="issue 32"):
    return f"{name(test)} | {cause} | {issue}"


def says(result, text):
    return text in result.stdout.str() + result.stderr.str()


@pytest.fixture
def play(pytester, monkeypatch):
    """Run pytest over the tests above in a folder of its own, with the lines; None leaves the file out."""
    monkeypatch.setenv("PYTEST_DISABLE_PLUGIN_AUTOLOAD", "1")  # a process starts in a fraction of the time
    pytester.makepyprojecttoml('[tool.pytest.ini_options]\ntestpaths = ["tests"]\n')
    tests = pytester.mkdir("tests")
    (tests / "conftest.py").write_text((ROOT / "tests" / "conftest.py").read_text())
    (tests / "test_it.py").write_text(TESTS)
    (tests / "test_other.py").write_text("def test_green(): pass\n")
    (tests / "helper.py").write_text("def test_helper(): assert False\n")
    (pytester.path / "test_outside.py").write_text("def test_outside(): assert False\n")

    def run(lines, *args, how=ALONE):
        if lines is not None:
            (pytester.path / "KNOWN-RED.txt").write_text("\n".join(["# a comment", "", *lines, ""]))
        run_pytest = pytester.runpytest_inprocess if how == ALONE else pytester.runpytest_subprocess
        return run_pytest(*how, *args)

    return run


@both
def test_listed_tests_that_fail_are_passed_over_and_printed(play, how):
    tests = ["test_red", "test_setup", "test_teardown"]
    result = play([line(test) for test in tests], *map(name, [*tests, "test_green"]), how=how)
    assert result.ret == pytest.ExitCode.OK
    assert says(result, "known red: 3 of 3 lines")
    for test in tests:
        assert says(result, f"\npassed over: {line(test)}\n")
    result.assert_outcomes(passed=2, xfailed=3)  # the call of the one that fails in its teardown passes


def test_a_case_and_a_method_can_be_listed_and_other_files_are_not_opened_for_them(play, pytester):
    (pytester.path / "tests" / "test_unreadable.py").write_text("import nothing_of_this_name\n")
    tests = ["test_cases[b | c]", "TestGroup::test_red"]
    result = play([line(test) for test in tests], name("test_cases"), name("TestGroup"))
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=1, xfailed=2)


@both
def test_listed_tests_that_do_not_fail_are_red(play, how):
    tests = ["test_green", "test_left_out", "test_expected"]
    result = play([line(test) for test in tests], *map(name, tests), how=how)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    assert result.parseoutcomes()["errors"] == 3
    for test in tests:
        assert says(result, f"{name(test)} is listed in KNOWN-RED.txt and does not fail: take its line out")
        assert says(result, f"\nnot passed over in this run: {line(test)}\n")


@both
def test_a_test_listed_as_failing_sometimes_is_passed_over_whatever_comes_and_printed(play, how):
    tests = ["test_red", "test_green"]
    result = play(
        [line(test, issue="issue 32, sometimes") for test in tests],
        *map(name, [*tests, "test_cases[a]"]),
        how=how,
    )
    assert result.ret == pytest.ExitCode.OK
    result.assert_outcomes(passed=2, xfailed=1)
    assert says(result, f"\npassed over: {line('test_red', issue='issue 32, sometimes')}\n")
    # Its text is printed, too, so that a trace of a rare failure is not lost.
    assert says(result, "    E   assert 1 == 2\n")
    assert says(result, f"\npassed in this run: {line('test_green', issue='issue 32, sometimes')}\n")


@both
def test_lines_of_tests_that_fail_sometimes_count_towards_the_limit(play, how):
    tests = ["test_red", "test_setup", "test_teardown", "test_cases[b | c]"]
    result = play([line(test, issue="issue 32, sometimes") for test in tests], name("test_red"), how=how)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert says(result, "4 tests are listed, 3 at most may be")


def test_a_test_that_fails_sometimes_has_to_be_collected(play):
    result = play([line("test_gone", issue="issue 32, sometimes")], name("test_green"))
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert says(result, f"there is no test {name('test_gone')}")


@both
def test_other_failures_stay_red(play, how):
    lines = [line("test_red"), line("test_cases[a]")]
    result = play(lines, *map(name, ["test_red", "test_setup", "test_cases[b | c]"]), how=how)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(xfailed=1, errors=1, failed=1)


def test_the_crash_of_a_worker_is_not_passed_over(play):
    result = play([line("test_crash")], name("test_crash"), "--max-worker-restart=0", how=SPREAD)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


@both
def test_a_fourth_line_is_red(play, how):
    tests = ["test_red", "test_setup", "test_teardown", "test_cases[b | c]"]
    result = play([line(test) for test in tests], name("test_red"), how=how)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert says(result, "4 tests are listed, 3 at most may be")


@pytest.mark.parametrize(
    ("tests", "how"),
    [
        (["test_gone", "tests/test_gone.py::test_red", "test_cases[c]"], ALONE),
        (["test_gone", "tests/test_gone.py::test_red", "test_cases[c]"], SPREAD),
        # A test with cases is not one test; a run of everything collects neither the file nor the folder.
        (["test_cases", "tests/helper.py::test_helper", "test_outside.py::test_outside"], ALONE),
        (["./tests/test_it.py::test_red", "TestGroup::test_gone", "TestGroup"], ALONE),
    ],
)
def test_lines_that_name_no_test_are_red(play, tests, how):
    result = play([line(test) for test in tests], name("test_green"), how=how)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    for test in tests:
        assert says(result, f"there is no test {name(test)}")


def test_a_listed_test_in_a_file_that_cannot_be_imported_is_red(play, pytester):
    (pytester.path / "tests" / "test_unreadable.py").write_text("import nothing_of_this_name\n")
    result = play([line("tests/test_unreadable.py::test_red")], name("test_green"))
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert says(result, "KNOWN-RED.txt: its tests cannot be collected")
    assert says(result, "No module named 'nothing_of_this_name'")


@pytest.mark.parametrize(
    ("choice", "how"),
    [(["tests/test_other.py"], ALONE), (["-k", "green"], ALONE), (["-k", "green"], SPREAD), ([], ALONE)],
)
def test_a_run_that_selects_other_tests_stays_green(play, monkeypatch, choice, how):
    if not choice:
        monkeypatch.setenv("PYTEST_ADDOPTS", "-k green")  # the choice can also come from here
    result = play([line("test_red")], *choice, how=how)
    assert result.ret == pytest.ExitCode.OK
    assert says(result, f"\nnot passed over in this run: {line('test_red')}\n")


@both
def test_a_line_that_cannot_be_read_is_red(play, how):
    result = play(["tests/test_it.py::test_red | the cause"], name("test_green"), how=how)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    assert says(result, "ERROR: KNOWN-RED.txt line 3: not 'test | cause | issue NUMBER'")


@pytest.mark.parametrize(
    "wrong",
    [
        b"tests/test_it.py::test_red",
        b"tests/test_it.py::test_red |  | issue 32",
        b"tests/test_it.py::test_red | the cause | 32",
        b"tests/test_it.py::test_red | the cause | issue",
        b"tests/test_it.py::test_red | the cause | sometimes",
        b"tests/test_it.py::test_red | the cause | issue 32, often",
        b"tests/test_it.py::test_red | the cause | issue 32 sometimes",
        b"tests/test_it.py | the cause | issue 32",
        b" | the cause | issue 32",
        b"tests/test_it.py::test_red | not in UTF-8: \xe9 | issue 32",
        b"t.py::test_red | the cause | issue 32\nt.py::test_red | another cause | issue 33",
    ],
)
def test_what_may_not_stand_in_the_file_is_named(tmp_path, wrong):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_bytes(wrong)
    with pytest.raises(pytest.UsageError, match="KNOWN-RED.txt"):
        conftest.read(path)


@pytest.mark.parametrize(("lines", "how"), [(None, ALONE), (None, SPREAD), ([], ALONE)])
def test_without_lines_nothing_is_passed_over_or_printed(play, lines, how):
    result = play(lines, name("test_red"), name("test_green"), how=how)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.assert_outcomes(passed=1, failed=1)
    assert not says(result, "known red")
