"""pytest plugin: tests that KNOWN-RED.txt lists run, and may fail.

The file holds blocks, separated by blank lines, of `field: text` lines. The field
`test` is the node id of exactly one test. Further lines of a field are indented. Lines
that begin with `#` are comments.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

__all__ = ["KnownRedEntry", "parse_known_red"]

_FILE_NAME = "KNOWN-RED.txt"
_FIELDS = ("test", "command", "seen", "issue")
_REPORT_SECTION = "listed in " + _FILE_NAME


class KnownRedEntry(NamedTuple):
    """One test that may fail.

    Attributes:
        test: Node id of the test, with its parameters.
        command: Command, with the seed, that shows the failure.
        seen: What was seen.
        issue: Issue in which the fault is open.
    """

    test: str
    command: str
    seen: str
    issue: str


def parse_known_red(text: str) -> list[KnownRedEntry]:
    """Parse the file's text.

    Args:
        text: Content of the file.

    Raises:
        ValueError: If a line or a block is invalid, or a test is listed twice.

    Example:
        >>> block = "test: tests/a.py::test_a\\ncommand: make test\\n"
        >>> parse_known_red(block + "seen: 1 == 2\\nissue: 7")[0].issue
        '7'
    """
    lines = [line for line in text.splitlines() if not line.startswith("#")]
    blocks = [block for block in "\n".join(lines).split("\n\n") if block.strip()]
    entries = [_parse_block(block) for block in blocks]
    tests = [entry.test for entry in entries]
    for test in tests:
        if tests.count(test) > 1:
            raise ValueError(f"{test} is listed twice")
    return entries


def _parse_block(block: str) -> KnownRedEntry:
    fields: dict[str, str] = {}
    name = ""
    for line in block.strip("\n").splitlines():
        if line.startswith(" ") and name:
            fields[name] += " " + line.strip()
            continue
        name, separator, value = line.partition(":")
        if not separator or name not in _FIELDS or name in fields:
            raise ValueError(f"unexpected line {line!r}")
        fields[name] = value.strip()
    missing = [field for field in _FIELDS if not fields.get(field)]
    if missing:
        raise ValueError(f"{', '.join(missing)} missing in {block.strip()!r}")
    return KnownRedEntry(**fields)


class _KnownRedPlugin:
    """Turns failures of listed tests into expected ones, and prints every result."""

    def __init__(self, entries: list[KnownRedEntry]) -> None:
        self._entries = {entry.test: entry for entry in entries}
        self._results: dict[str, str] = {}

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(
        self, config: pytest.Config, items: list[pytest.Item]
    ) -> None:
        collected = {item.nodeid for item in items}
        files = {node_id.partition("::")[0] for node_id in collected}
        whole_run = config.args_source is pytest.Config.ArgsSource.TESTPATHS
        for test in self._entries.keys() - collected:
            # A run of some files can't tell whether tests of other files exist.
            if whole_run or test.partition("::")[0] in files:
                raise pytest.UsageError(f"{_FILE_NAME} names no test: {test}")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> Iterator[pytest.TestReport]:
        report = yield
        if item.nodeid not in self._entries:
            return report
        if report.failed:
            self._results[item.nodeid] = f"failed in {report.when}"
            report.outcome = "skipped"
            report.wasxfail = _REPORT_SECTION
        elif report.when == "call":
            self._results.setdefault(item.nodeid, report.outcome)
        return report

    def pytest_terminal_summary(
        self, terminalreporter: pytest.TerminalReporter
    ) -> None:
        if not self._entries:
            return
        terminalreporter.section(_REPORT_SECTION)
        for test, entry in self._entries.items():
            result = self._results.get(test, "not run")
            terminalreporter.write_line(f"{result}: {test} (issue {entry.issue})")


def pytest_configure(config: pytest.Config) -> None:
    """Read the file at the root of the tests, if there is one."""
    path = Path(config.rootpath) / _FILE_NAME
    if not path.exists():
        return
    try:
        entries = parse_known_red(path.read_text(encoding="utf-8"))
    except ValueError as error:
        raise pytest.UsageError(f"{_FILE_NAME}: {error}") from error
    config.pluginmanager.register(_KnownRedPlugin(entries), "known-red")
