"""Passes over the tests of KNOWN-RED.txt where `--pass-over-known-red` asks for it, and prints them."""

import pytest

from tests.known_red import FILE, KnownRed, KnownRedError, parse

OPTION = "--pass-over-known-red"


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(OPTION, action="store_true", help="pass over the tests that KNOWN-RED.txt lists, and print them")


def _listed(config: pytest.Config) -> list[KnownRed]:
    if not config.getoption(OPTION):
        return []
    try:
        return parse(FILE.read_text())
    except KnownRedError as error:
        raise pytest.UsageError(f"{FILE.name}: {error}") from None


def pytest_configure(config: pytest.Config) -> None:
    _listed(config)  # a list that can't be used ends the run before it begins


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    listed = _listed(config)
    passed_over = [item for item in items if any(one.covers(item.nodeid) for one in listed)]
    if passed_over:
        config.hook.pytest_deselected(items=passed_over)
        items[:] = [item for item in items if item not in passed_over]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    for one in _listed(config):
        terminalreporter.write_line(
            f"known red, passed over: {one.test}: {one.seen} ({one.issue}); play it: {one.command}"
        )
