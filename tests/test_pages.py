"""The README's example runs, and the module keeps its size."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_readme_example_runs() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    exec(compile(code, "README.md", "exec"), {})


def test_module_keeps_its_size() -> None:
    paths = (ROOT / "seamlb" / "policy").glob("*.py")
    lines = [line for path in paths for line in path.read_text().splitlines()]
    assert sum(bool(line.strip()) for line in lines) <= 500
    assert max(map(len, lines)) <= 110


def test_the_deploy_file_names_all_of_the_daemon() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = {*deploy["node"], *deploy["policy"], "seamlb/drill.py", "seamlb/__init__.py", "seamlb/py.typed"}
    package = ROOT / "seamlb"
    there = {f"seamlb/{one.name}" for one in package.iterdir() if one.name not in ("__pycache__", "policy")}
    assert named - set(deploy["policy"]) == there
    assert set(deploy["policy"]) == {f"seamlb/policy/{one.name}" for one in (package / "policy").glob("*.py")}
    assert {"build", "run", "sim"} <= deploy.keys()
