"""The example sites in deploy/sites: their contents, and the script that copies the benchmark's files there."""

import subprocess
import tomllib
from pathlib import Path

import pytest

SITES = Path(__file__).resolve().parent.parent / "deploy" / "sites"
NEEDED = ("real.json", "wire.json", "unlock.txt", "ops.json")


@pytest.mark.parametrize(("name", "classes", "tenants"), [("five-classes", 5, 1), ("two-classes", 2, 12)])
def test_a_site_has_its_classes_and_tenants(name: str, classes: int, tenants: int) -> None:
    site = tomllib.loads((SITES / f"{name}.toml").read_text())
    assert (len(site["class"]), len(site["fam"]["class"]), len(site["tenant"])) == (classes, classes, tenants)
    assert sum(tenant["share"] for tenant in site["tenant"]) == pytest.approx(1.0)


def prepare(script: Path, *folders: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([script, *folders], capture_output=True, text=True, check=False)


@pytest.mark.parametrize("kit", [None, "nowhere", "some"])
def test_without_the_kit_prepare_reports_one_line_and_copies_nothing(kit: str | None, tmp_path: Path) -> None:
    script = tmp_path / "prepare"
    script.write_bytes((SITES / "prepare").read_bytes())
    script.chmod(0o755)
    if kit == "some":  # some of the needed files
        (tmp_path / kit).mkdir()
        (tmp_path / kit / NEEDED[0]).write_text("{}")
    done = prepare(script, *([str(tmp_path / kit)] if kit else []))
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "missing" in done.stderr
    assert not [name for name in NEEDED if (tmp_path / name).exists()]


def test_prepare_copies_the_kits_files_and_can_be_repeated(tmp_path: Path) -> None:
    script, kit = tmp_path / "prepare", tmp_path / "kit"
    script.write_bytes((SITES / "prepare").read_bytes())
    script.chmod(0o755)
    kit.mkdir()
    for name in NEEDED:
        (kit / name).write_text(name)
        (kit / name).chmod(0o444)  # read-only, like the files of the kit
    for _ in range(2):
        assert prepare(script, str(kit)).returncode == 0
    assert [(tmp_path / name).read_text() for name in NEEDED] == list(NEEDED)
