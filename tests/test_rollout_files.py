"""Persisted rollout state, operators' commands, and validation of plans."""

import os
import tempfile
import unittest
import unittest.mock
from pathlib import Path

from click.testing import CliRunner

from seamlb.cli import main
from seamlb.rollout.controller import StateFolder
from seamlb.rollout.plan import Stage
from seamlb.rollout.state_machine import RolloutState
from seamlb.store import record
from tests.simulated_rollout import make_plan


class PersistenceTests(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = self.folder / "r"

    def test_a_truncated_or_modified_record_is_detected(self) -> None:
        record.write(self.path, b"what is kept")
        whole = self.path.read_bytes()
        self.assertEqual(record.read(self.path), b"what is kept")
        for offset in range(len(whole)):
            for corrupt in (whole[:offset], whole[:offset] + bytes([whole[offset] ^ 1]) + whole[offset + 1 :]):
                self.path.write_bytes(corrupt)
                with self.assertRaises(record.RecordError, msg=(offset, corrupt)):
                    record.read(self.path)
        self.assertIsNone(record.read(self.folder / "none"))

    def test_a_failed_write_keeps_the_old_record_and_leaves_no_temporary_file(self) -> None:
        record.write(self.path, b"old")
        real = os.fsync
        try:
            for failing in ("fsync", "replace"):
                with (
                    self.subTest(failing=failing),
                    unittest.mock.patch(f"os.{failing}", side_effect=OSError(5, "Input/output error")),
                    self.assertRaises(OSError),
                ):
                    record.write(self.path, b"new")
                self.assertEqual(record.read(self.path), b"old")
                self.assertEqual([one.name for one in self.folder.iterdir()], ["r"])
        finally:
            self.assertIs(os.fsync, real)

    def test_a_state_with_a_wrong_revision_digest_is_rejected(self) -> None:
        folder = StateFolder(self.folder)
        folder.save(RolloutState("c", make_plan()))  # its digests are invalid
        with self.assertRaisesRegex(record.RecordError, "doesn't match its digest"):
            folder.load()

    def test_only_one_controller_can_lock_a_folder(self) -> None:
        first, second = StateFolder(self.folder), StateFolder(self.folder)
        self.assertTrue(first.lock())
        self.assertFalse(second.lock())
        first.unlock()
        self.assertTrue(second.lock())

    def test_a_command_is_taken_once_and_a_corrupt_one_is_ignored(self) -> None:
        folder = StateFolder(self.folder)
        folder.submit("pause")
        self.assertEqual((folder.take_command(), folder.take_command()), ("pause", ""))
        (self.folder / "wish").write_bytes(b"abort")
        self.assertEqual(folder.take_command(), "")


class PlanTests(unittest.TestCase):
    VALID = """
[old]
name = "1"
command = ["one"]
config = "c.json"
[new]
name = "2"
command = ["two"]
config = "c.json"
[[agent]]
name = "a"
keeper = "127.0.0.1:1"
[[agent]]
name = "b"
keeper = "127.0.0.1:2"
[[stage]]
agents = 1
[[stage]]
agents = "all"
"""

    def test_an_invalid_plan_is_rejected_with_one_line(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "c.json").write_text("{}")
            cases = (
                ("", "", ""),
                ("127.0.0.1:2", "127.0.0.1:1", "agent.keeper: duplicate value"),
                ('name = "2"', 'name = "1"', "new.name: must differ from old.name"),
                ('["two"]', '["one"]', "new: the same command and configuration as old"),
                ('"all"', '"10 %"', "stage: must increase from stage to stage"),
                ('"all"', '"most"', "stage[1].agents: must be a number"),
                ("agents = 1\n", "agents = 0\n", "stage[0].agents: must be above 0"),
                ("agents = 1\n", "agents = 1\nbake = 1000\n", "stage[0].most: must be above bake"),
                ('agents = "all"', 'agents = "all"\nleats = 3', "unknown field `leats`"),
                ('"c.json"', '"d.json"', "d.json: No such file"),
                ('config = "c.json"\n', "", "`config`"),
            )
            for old, new, error in cases:
                with self.subTest(error=error):
                    path = folder / "p.toml"
                    path.write_text(self.VALID.replace(old, new, 1) if old else self.VALID)
                    result = CliRunner().invoke(main, ["rollout", "plan", str(path)])
                    self.assertEqual(result.exit_code, 2 if error else 0, result.output)
                    self.assertIn(error, result.output)
                    if error:
                        self.assertEqual(result.output.count("\n"), 1, result.output)

    def test_percentages_are_rounded_up_to_whole_agents(self) -> None:
        sizes = [Stage(agents).agent_count(24) for agents in (1, "1 %", "10 %", "50 %", "all", 99)]  # type: ignore[arg-type]
        self.assertEqual(sizes, [1, 1, 3, 12, 24, 24])
