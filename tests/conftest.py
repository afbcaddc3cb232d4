"""With `--pass-over-known-red`, deselects and prints the tests in KNOWN-RED.txt."""

import pytest

from tests.known_red import FILE, KnownRed, KnownRedError, parse

OPTION = "--pass-over-known-red"


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(OPTION, action="store_true", help="deselect the tests listed in KNOWN-RED.txt, and print them")


def _entries(config: pytest.Config) -> list[KnownRed]:
    if not config.getoption(OPTION):
        return []
    try:
        return parse(FILE.read_text())
    except KnownRedError as error:
        raise pytest.UsageError(f"{FILE.name}: {error}") from None


def pytest_configure(config: pytest.Config) -> None:
    _entries(config)  # an unusable list ends the run before it starts


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    entries = _entries(config)
    deselected = [item for item in items if any(entry.matches(item.nodeid) for entry in entries)]
    if deselected:
        config.hook.pytest_deselected(items=deselected)
        items[:] = [item for item in items if item not in deselected]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for entry in _entries(config):
        terminalreporter.write_line(
            f"known red, passed over: {entry.test}: {entry.symptom} ({entry.issue}); reproduce it: {entry.command}"
        )
