"""Tests that are known to fail: the lines of KNOWN-RED.txt, checked."""

import ast
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FILE = ROOT / "KNOWN-RED.txt"
MOST = 3  # tests that may be listed
CHECKS = "tests/test_known_red.py"  # which may not be listed itself


class KnownRedError(Exception):
    """A list that can't be used; its text is one line."""


@dataclass(slots=True, frozen=True)
class KnownRed:
    """A test that fails for a known fault."""

    test: str
    cause: str
    issue: str

    def covers(self, node: str) -> bool:
        """Is this node the test, or one of its parameters' cases?"""
        return node == self.test or node.startswith(f"{self.test}[")


def parse(text: str) -> list[KnownRed]:
    """The listed tests; KnownRedError if there are too many or a line is not of the form."""
    found = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 3 or not all(fields):
            raise KnownRedError(f"line {number}: not 'test | cause | issue'")
        found.append(KnownRed(*fields))
    if len(found) > MOST:
        raise KnownRedError(f"{len(found)} tests are listed, {MOST} may be")
    return found


def missing(listed: list[KnownRed], root: Path = ROOT) -> list[str]:
    """Those that name no test, or the test of the list itself."""
    return [one.test for one in listed if one.test.startswith(CHECKS) or not _exists(one.test, root)]


def _exists(test: str, root: Path) -> bool:
    file, *names = test.split("::")
    path = root / file
    if not path.is_file() or not names or not names[-1].startswith("test"):
        return False
    scope: list[ast.stmt] = ast.parse(path.read_text()).body
    for name in names:
        inner = next(
            (
                one
                for one in scope
                if isinstance(one, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef) and one.name == name
            ),
            None,
        )
        if inner is None:
            return False
        scope = inner.body
    return True
