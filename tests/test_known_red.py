"""What CI does with the tests that KNOWN-RED.txt lists."""

import pytest

from tests.known_red import parse_known_red

ENTRY = """test: {test}
command: python -m pytest, seed 7
seen: assert 1 == 2
issue: 18
"""
TEST_FILE = """
import pytest

def test_red():
    assert 1 == 2

def test_green():
    pass

@pytest.fixture
def broken():
    raise RuntimeError

def test_broken_fixture(broken):
    pass
"""


@pytest.fixture
def suite(pytester):
    """A project whose tests are those of `TEST_FILE`."""
    pytester.makeini(
        "[pytest]\ntestpaths = .\nasyncio_default_fixture_loop_scope = function"
    )
    pytester.makepyfile(test_a=TEST_FILE)
    pytester.makeconftest("pytest_plugins = ['tests.known_red']")
    return pytester


def _run(suite, *tests: str, args: tuple[str, ...] = ()):
    text = "\n".join(ENTRY.format(test=test) for test in tests)
    (suite.path / "KNOWN-RED.txt").write_text("# Comment\n" + text)
    return suite.runpytest_inprocess("-p", "no:cacheprovider", *args)


class TestRuns:
    def test_listed_failures_pass_and_are_printed(self, suite):
        result = _run(suite, "test_a.py::test_red", "test_a.py::test_broken_fixture")
        result.assert_outcomes(passed=1, xfailed=2)
        assert result.ret == 0
        result.stdout.fnmatch_lines([
            "failed in call: test_a.py::test_red (issue 18)",
            "failed in setup: test_a.py::test_broken_fixture (issue 18)",
        ])

    def test_unlisted_failure_fails(self, suite):
        result = _run(suite, "test_a.py::test_red")
        assert result.ret == 1
        result.assert_outcomes(passed=1, xfailed=1, errors=1)

    def test_listed_test_that_passes_is_printed(self, suite):
        result = _run(suite, "test_a.py::test_green", args=("-k", "green"))
        assert result.ret == 0
        result.stdout.fnmatch_lines(["passed: test_a.py::test_green (issue 18)"])

    @pytest.mark.parametrize("test", ["test_a.py::test_gone", "test_b.py::test_red"])
    def test_entry_without_a_test_fails(self, suite, test):
        result = _run(suite, test)
        assert result.ret == pytest.ExitCode.USAGE_ERROR
        result.stderr.fnmatch_lines([f"*names no test: {test}"])

    def test_invalid_file_fails(self, suite):
        (suite.path / "KNOWN-RED.txt").write_text("test_a.py::test_red")
        assert suite.runpytest_inprocess().ret == pytest.ExitCode.USAGE_ERROR


class TestParse:
    @pytest.mark.parametrize(
        "text",
        [
            "test: a.py::b",
            "test a.py::b",
            ENTRY.format(test="a.py::b") + "why: x",
            ENTRY.format(test="a.py::b") + "\n" + ENTRY.format(test="a.py::b"),
        ],
        ids=["missing", "no field", "unknown field", "twice"],
    )
    def test_invalid_text_is_rejected(self, text):
        with pytest.raises(ValueError):
            parse_known_red(text)

    def test_indented_lines_continue_a_field(self):
        text = ENTRY.format(test="a.py::b").replace("assert", "first\n  assert")
        assert parse_known_red(text)[0].seen == "first assert 1 == 2"
