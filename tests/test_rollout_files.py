"""What a change leaves on the disk, and plans of stages."""

import os
import tempfile
import unittest
import unittest.mock
from pathlib import Path

from click.testing import CliRunner

from seamlb.cli import main
from seamlb.rollout.change import RolloutState
from seamlb.rollout.conductor import Folder
from seamlb.rollout.plan import Stage
from seamlb.store import record
from tests.rollout_toy import plan


class Disk(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.path = self.folder / "r"

    def test_a_record_cut_at_any_byte_or_changed_anywhere_is_found(self) -> None:
        record.write(self.path, b"what is kept")
        whole = self.path.read_bytes()
        self.assertEqual(record.read(self.path), b"what is kept")
        for at in range(len(whole)):
            for torn in (whole[:at], whole[:at] + bytes([whole[at] ^ 1]) + whole[at + 1 :]):
                self.path.write_bytes(torn)
                with self.assertRaises(record.RecordError, msg=(at, torn)):
                    record.read(self.path)
        self.assertIsNone(record.read(self.folder / "none"))

    def test_a_disk_that_fails_leaves_the_old_record_and_no_litter(self) -> None:
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

    def test_a_place_whose_revision_lies_is_not_acted_on(self) -> None:
        folder = Folder(self.folder)
        folder.keep(RolloutState("c", plan()))  # its digests are made up
        with self.assertRaisesRegex(record.RecordError, "not what its digest says"):
            folder.place()

    def test_two_conductors_at_one_folder(self) -> None:
        first, second = Folder(self.folder), Folder(self.folder)
        self.assertTrue(first.lock())
        self.assertFalse(second.lock())
        first.free()
        self.assertTrue(second.lock())

    def test_a_wish_is_taken_once_and_a_torn_one_is_none(self) -> None:
        folder = Folder(self.folder)
        folder.wish("pause")
        self.assertEqual((folder.wished(), folder.wished()), ("pause", ""))
        (self.folder / "wish").write_bytes(b"abort")
        self.assertEqual(folder.wished(), "")


class Plans(unittest.TestCase):
    GOOD = """
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

    def test_plans_are_checked_whole(self) -> None:
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "c.json").write_text("{}")
            cases = (
                ("", "", ""),
                ("127.0.0.1:2", "127.0.0.1:1", "agent.keeper: one is there twice"),
                ('name = "2"', 'name = "1"', "new.name: the same as old.name"),
                ('["two"]', '["one"]', "new: the same command and configuration as old"),
                ('"all"', '"10 %"', "stage: not growing"),
                ('"all"', '"most"', "stage[1].agents: no number"),
                ("agents = 1\n", "agents = 0\n", "stage[0].agents: not above 0"),
                ("agents = 1\n", "agents = 1\nbake = 1000\n", "stage[0].most: not above bake"),
                ('agents = "all"', 'agents = "all"\nleats = 3', "unknown field `leats`"),
                ('"c.json"', '"d.json"', "d.json: No such file"),
                ('config = "c.json"\n', "", "`config`"),
            )
            for old, new, says in cases:
                with self.subTest(says=says):
                    path = folder / "p.toml"
                    path.write_text(self.GOOD.replace(old, new, 1) if old else self.GOOD)
                    told = CliRunner().invoke(main, ["rollout", "plan", str(path)])
                    self.assertEqual(told.exit_code, 2 if says else 0, told.output)
                    self.assertIn(says, told.output)
                    if says:
                        self.assertEqual(told.output.count("\n"), 1, told.output)

    def test_shares_round_up_to_whole_agents(self) -> None:
        sizes = [Stage(what).size(24) for what in (1, "1 %", "10 %", "50 %", "all", 99)]  # type: ignore[arg-type]
        self.assertEqual(sizes, [1, 1, 3, 12, 24, 24])
