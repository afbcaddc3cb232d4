"""KNOWN-RED.txt: its format, and that CI deselects only the listed tests."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import (
    FILE,
    MAX_ENTRIES,
    OWN_TESTS,
    PASSES_TO_REMOVE,
    ROOT,
    KnownRed,
    KnownRedError,
    missing,
    parse,
    to_remove,
)

ENTRY_LINE = "tests/test_known_red.py::test_a | pytest -k test_a, seed 7 | it fails | issue 1"


def test_the_list_of_this_repository_names_tests() -> None:
    assert missing(parse(FILE.read_text())) == []


def test_a_list_is_parsed_and_matches_the_cases_of_a_test() -> None:
    (entry,) = parse(f"# a comment\n\n{ENTRY_LINE}\n")
    assert entry == KnownRed("tests/test_known_red.py::test_a", "pytest -k test_a, seed 7", "it fails", "issue 1")
    assert entry.matches(entry.test) and entry.matches(f"{entry.test}[x]") and not entry.matches(f"{entry.test}b")


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_a.py::test_a",
        "a | b",
        "a | it fails | issue 1",
        "a | | it fails | issue 1",
        ENTRY_LINE.replace("issue 1", "issue"),
        ENTRY_LINE.replace("issue 1", "soon"),
        "\n".join([ENTRY_LINE] * (MAX_ENTRIES + 1)),
    ],
)
def test_a_malformed_or_too_long_list_is_refused(text: str) -> None:
    with pytest.raises(KnownRedError):
        parse(text)


@pytest.mark.parametrize(
    "test",
    [
        "tests/test_none.py::test_a",
        "tests/test_pages.py::test_none",
        "tests/test_pages.py",
        "tests/test_pages.py::test_none[a case]",
        f"{OWN_TESTS}::test_a",
        "tests/test_net.py::Nobody::test_none",
    ],
)
def test_an_entry_without_a_test_is_reported(test: str) -> None:
    assert missing([KnownRed(test, "pytest", "it fails", "issue 1")]) == [test]


def test_a_case_of_a_test_can_be_listed_alone() -> None:
    entry = KnownRed("tests/test_sizes.py::test_a_file_that_is_named[x]", "pytest", "it fails", "issue 1")
    assert entry.matches(entry.test) and not entry.matches("tests/test_sizes.py::test_a_file_that_is_named[y]")


def test_an_entry_whose_test_passes_many_times_in_a_row_is_to_be_removed() -> None:
    entries = [KnownRed(name, "pytest", "it fails", "issue 1") for name in ("passes", "flaky", "fails")]
    runs = dict.fromkeys(("passes", "flaky", "fails"), 0)

    def passes(test: str) -> bool:
        runs[test] += 1
        return test == "passes" or (test == "flaky" and runs[test] < PASSES_TO_REMOVE)

    assert to_remove(entries, passes) == ["passes"]
    assert runs == {"passes": PASSES_TO_REMOVE, "flaky": PASSES_TO_REMOVE, "fails": 1}


def _run(folder: Path, known_red: str) -> subprocess.CompletedProcess[str]:
    """Run two tests, one of which fails, with this list."""
    tests = folder / "tests"
    tests.mkdir()
    for name in ("conftest.py", "known_red.py"):
        (tests / name).write_text((ROOT / "tests" / name).read_text())
    (tests / "__init__.py").write_text("")
    (tests / "test_two.py").write_text("def test_good(): pass\ndef test_red(): assert False\n")
    (folder / "KNOWN-RED.txt").write_text(known_red)
    outside = {name: value for name, value in os.environ.items() if not name.startswith("PYTEST_")}
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "pytest",
            "-p",
            "no:cacheprovider",
            "--pass-over-known-red",
            "--rootdir",
            ".",
            "tests",
        ],
        cwd=folder,
        env=outside,
        capture_output=True,
        text=True,
        check=False,
    )


def test_only_the_listed_tests_are_deselected_and_printed(tmp_path: Path) -> None:
    result = _run(tmp_path, "tests/test_two.py::test_red | pytest tests | it is red | issue 1\n")
    assert result.returncode == 0, result.stdout
    assert (
        "known red, passed over: tests/test_two.py::test_red: it is red (issue 1); reproduce it: pytest tests"
        in result.stdout
    )
    assert "1 passed, 1 deselected" in result.stdout


def test_another_failure_still_fails_and_a_too_long_list_runs_nothing(tmp_path: Path) -> None:
    assert _run(tmp_path, "tests/test_two.py::test_good | pytest tests | it is not | issue 1\n").returncode == 1
    long = tmp_path / "long"
    long.mkdir()
    result = _run(long, "\n".join([ENTRY_LINE] * (MAX_ENTRIES + 1)))
    assert result.returncode == 4 and "4 tests are listed, 3 are allowed" in result.stderr
