"""The page of constants and the code agree: each constant of the decision module has a row with its value."""

import ast
import re
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "design" / "capacity.md"
FILES = [ROOT / "seamlb" / "observations.py", *sorted((ROOT / "seamlb" / "policy").glob("*.py"))]
CODES = {"PROCESSOR_FULL", "LINES_BUSY", "STALL_TIMER"}  # names of the wire and of an alarm, not amounts


def constants() -> dict[str, tuple[float, ...]]:
    found = {}
    for path in FILES:
        for node in ast.parse(path.read_text()).body:
            if (
                isinstance(node, ast.Assign)
                and isinstance(node.targets[0], ast.Name)
                and node.targets[0].id.isupper()
            ):
                value = ast.literal_eval(node.value) if node.targets[0].id not in CODES else 0
                found[node.targets[0].id] = value if isinstance(value, tuple) else (value,)
    return {name: tuple(map(float, value)) for name, value in found.items() if name not in CODES}


def test_each_constant_has_a_row_with_its_value() -> None:
    rows = re.findall(r"^\| `(\w+)` \| [^|]* \| ([^|]*) \|", PAGE.read_text(), re.MULTILINE)
    assert {name: tuple(float(one) for one in value.split(",")) for name, value in rows} == constants()
