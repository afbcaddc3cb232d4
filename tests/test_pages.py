"""The README's example runs, policy modules are short, and the deploy file names the whole package."""

import re
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_readme_example_runs() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    exec(compile(code, "README.md", "exec"), {})


def test_each_policy_module_is_short() -> None:
    for path in (ROOT / "seamlb" / "policy").glob("*.py"):
        lines = path.read_text().splitlines()
        assert len(lines) <= 250, path.name
        assert max(map(len, lines), default=0) <= 110, path.name


def test_the_deploy_file_names_all_of_the_daemon() -> None:
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    named = {*deploy["node"], *deploy["policy"], "seamlb/drill.py", "seamlb/__init__.py", "seamlb/py.typed"}
    package = ROOT / "seamlb"
    there = {f"seamlb/{one.name}" for one in package.iterdir() if one.name not in ("__pycache__", "policy")}
    assert named - set(deploy["policy"]) == there
    assert set(deploy["policy"]) == {f"seamlb/policy/{one.name}" for one in (package / "policy").glob("*.py")}
    assert {"build", "run", "sim"} <= deploy.keys()
