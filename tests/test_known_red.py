"""KNOWN-RED.txt: what it may hold, and that CI passes over just the tests that it names."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import CHECKS, FILE, MOST, ROOT, TIMES, KnownRed, KnownRedError, missing, parse, to_remove

LINE = "tests/test_known_red.py::test_a | pytest -k test_a, seed 7 | it fails | issue 1"


def test_the_list_of_this_repository_names_tests() -> None:
    assert missing(parse(FILE.read_text())) == []


def test_a_list_is_read_and_covers_the_cases_of_a_test() -> None:
    (one,) = parse(f"# a comment\n\n{LINE}\n")
    assert one == KnownRed("tests/test_known_red.py::test_a", "pytest -k test_a, seed 7", "it fails", "issue 1")
    assert one.covers(one.test) and one.covers(f"{one.test}[x]") and not one.covers(f"{one.test}b")


@pytest.mark.parametrize(
    "text",
    [
        "tests/test_a.py::test_a",
        "a | b",
        "a | it fails | issue 1",
        "a | | it fails | issue 1",
        LINE.replace("issue 1", "issue"),
        LINE.replace("issue 1", "soon"),
        "\n".join([LINE] * (MOST + 1)),
    ],
)
def test_a_list_that_is_not_of_the_form_or_too_long_is_turned_down(text: str) -> None:
    with pytest.raises(KnownRedError):
        parse(text)


@pytest.mark.parametrize(
    "test",
    [
        "tests/test_none.py::test_a",
        "tests/test_pages.py::test_none",
        "tests/test_pages.py",
        "tests/test_pages.py::test_none[a case]",
        f"{CHECKS}::test_a",
        "tests/test_net.py::Nobody::test_none",
    ],
)
def test_a_line_that_names_no_test_is_found(test: str) -> None:
    assert missing([KnownRed(test, "pytest", "it fails", "issue 1")]) == [test]


def test_a_case_of_a_test_can_be_listed_alone() -> None:
    one = KnownRed("tests/test_sizes.py::test_a_file_that_is_named[x]", "pytest", "it fails", "issue 1")
    assert one.covers(one.test) and not one.covers("tests/test_sizes.py::test_a_file_that_is_named[y]")


def test_an_entry_whose_test_passes_many_times_in_a_row_is_one_to_remove() -> None:
    listed = [KnownRed(name, "pytest", "it fails", "issue 1") for name in ("passes", "flaky", "fails")]
    runs = dict.fromkeys(("passes", "flaky", "fails"), 0)

    def passes(test: str) -> bool:
        runs[test] += 1
        return test == "passes" or (test == "flaky" and runs[test] < TIMES)

    assert to_remove(listed, passes) == ["passes"]
    assert runs == {"passes": TIMES, "flaky": TIMES, "fails": 1}


def _run(folder: Path, known_red: str) -> subprocess.CompletedProcess[str]:
    """Play two tests, of which one fails, beside this list."""
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


def test_just_the_tests_that_are_listed_are_passed_over_and_printed(tmp_path: Path) -> None:
    told = _run(tmp_path, "tests/test_two.py::test_red | pytest tests | it is red | issue 1\n")
    assert told.returncode == 0, told.stdout
    assert (
        "known red, passed over: tests/test_two.py::test_red: it is red (issue 1); play it: pytest tests"
        in told.stdout
    )
    assert "1 passed, 1 deselected" in told.stdout


def test_another_failure_still_fails_and_a_list_that_is_too_long_runs_nothing(tmp_path: Path) -> None:
    assert _run(tmp_path, "tests/test_two.py::test_good | pytest tests | it is not | issue 1\n").returncode == 1
    long = tmp_path / "long"
    long.mkdir()
    told = _run(long, "\n".join([LINE] * (MOST + 1)))
    assert told.returncode == 4 and "4 tests are listed, 3 may be" in told.stderr
