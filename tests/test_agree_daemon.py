"""Version agreement of real processes on loopback: killed, stalled, isolated, with disks that fail."""

import asyncio
import json
import signal
import tempfile
import unittest
from pathlib import Path

from tests.agree_site import WITHIN, Site, boottime
from tests.fleet import faulty_command, own_host


class AgreedSite(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.site = Site(Path(self.enterContext(tempfile.TemporaryDirectory())))
        self.addAsyncCleanup(self.site.stop)

    async def test_a_proposal_is_applied_by_all_and_processes_killed_stalled_or_isolated_violate_nothing(
        self,
    ) -> None:
        site = self.site
        await site.start()
        await site.wait_for_all(1)
        await site.propose("a0", open=7, desks=["d1"])
        await site.wait_for_all(2)
        for name in site.names:
            reply = await site.admin(name)
            self.assertEqual((reply["acts_on"]["open"], reply["acts_on"]["desks"]), (7, ["d1"]))
            self.assertEqual((await site.admin(name, "/admin/stats"))["out_of_rotation"], 1)

        await site.kill("a1")  # a voter
        site.processes["a4"].send_signal(signal.SIGSTOP)  # an agent that can't notice that its lease expires
        site.isolate({"a3"})
        await site.propose("a2", open=50, owner="a3", desks=[])
        await site.wait_for_all(3, "a1", "a3", "a4")
        self.assertEqual(await site.applied("a3"), (2, "alone"))
        self.assertEqual((await site.admin("a3"))["acts_on"]["owner"], "")
        await site.propose("a0", owner="a2", open=20)
        await site.wait_for_all(4, "a1", "a3", "a4")
        site.processes["a4"].send_signal(signal.SIGCONT)
        site.isolate(set())
        await site.start_agent("a1")
        await site.wait_for_all(4)
        self.assertEqual(site.audit(), 0.0)

    async def test_without_a_majority_calls_are_served_with_fallback_values_until_the_voters_are_back(self) -> None:
        site = self.site
        await site.start()
        await site.wait_for_all(1)
        await site.propose("a1", open=40)
        await site.wait_for_all(2)
        for name in ("a0", "a2"):
            await site.kill(name)
        await site.wait_for_all(2, "a0", "a2", state="alone")
        self.assertEqual((await site.admin("a3"))["acts_on"]["open"], 5)
        self.assertEqual((await site.admin("a3", "/admin/health"))["phase"], "ready")
        reply = await site.admin("a3", "/admin/agree/propose", '{"rules": {"open": 60}}')
        self.assertIn("not a voter", reply["error"])
        reply = await site.admin("a1", "/admin/agree/propose", '{"rules": {"open": 2}}')
        self.assertIn("below the fallback value 5", reply["error"])
        for name in ("a0", "a2"):
            await site.start_agent(name)
        await site.wait_for_all(2)
        site.isolate({"a0"}, "deaf")  # its requests arrive, the replies don't
        await site.propose("a2", open=30)
        await site.wait_for_all(3, "a0")
        site.isolate(set())
        await site.wait_for_all(3)
        self.assertEqual(site.audit(), 0.0)

    async def test_a_voter_is_replaced_and_the_new_one_votes(self) -> None:
        site = self.site
        await site.start()
        await site.wait_for_all(1)
        reply = await site.admin("a0", "/admin/agree/propose", '{"council": ["a2", "a3", "a4"]}')
        self.assertIn("more than two names are added or removed", reply["error"])
        await site.propose("a0", voters=("a0", "a1", "a3"), open=60)
        await site.wait_for_all(2)
        for name in ("a1", "a2"):  # a voter, and the one that was replaced: a0 and a3 are the majority
            await site.kill(name)
        await site.propose("a3", open=70)
        await site.wait_for_all(3, "a1", "a2")
        for name in ("a1", "a2"):
            await site.start_agent(name)
        await site.wait_for_all(3)
        self.assertEqual(site.audit(), 0.0)

    async def test_a_second_process_in_a_folder_uses_fallback_values_until_the_first_one_ends(self) -> None:
        """During an upgrade, or if a process was started twice, one name must not have two leases."""
        site = self.site
        await site.start()
        await site.wait_for_all(1)
        await site.propose("a0", open=60)
        await site.wait_for_all(2)
        site.hosts["twin"] = own_host()
        config = json.loads((site.folder / "a1.json").read_text())
        config |= {"listen": f"{site.hosts['twin']}:5060", "management": f"{site.hosts['twin']}:7001"}
        (site.folder / "twin.json").write_text(json.dumps(config))
        (site.folder / "twin.toml").write_text((site.folder / "a1.toml").read_text())
        await site.start_agent("twin")

        async def is_waiting() -> bool:
            return bool((await site.admin("twin")).get("waits_for_the_folder"))

        await site.wait_until(is_waiting)
        await asyncio.sleep(WITHIN)
        self.assertEqual((await site.applied("twin"))[1], "alone")
        self.assertEqual((await site.admin("twin"))["acts_on"]["open"], 5)
        await site.propose("a0", open=70)
        await site.wait_for_all(3)
        site.processes["a1"].send_signal(signal.SIGTERM)
        self.assertEqual(await site.processes["a1"].wait(), 0)
        site.ends["a1", 0] = boottime()

        async def has_taken_over() -> bool:
            return await site.applied("twin") == (3, "in force") and bool((await site.admin("twin"))["member"])

        await site.wait_until(has_taken_over)
        await site.propose("twin", open=80)  # it votes with the state that the first process left on disk
        await site.wait_for_all(4, "a1")
        self.assertEqual((await site.admin("twin"))["name"], "a1")

    async def test_a_rolled_back_or_torn_record_is_detected_and_its_voter_halts(self) -> None:
        site = self.site
        marks = {name: site.folder / f"{name}.disk" for name in ("a0", "a1", "a2")}
        await site.start(commands={name: faulty_command("disk", str(mark)) for name, mark in marks.items()})
        await site.wait_for_all(1)
        await site.propose("a0", open=40)
        await site.wait_for_all(2)
        record = site.folder / "a1" / "council"
        old = record.read_bytes()
        await site.propose("a0", open=50)
        await site.wait_for_all(3)
        await site.kill("a1")
        record.write_bytes(old)  # a rolled back disk
        await site.start_agent("a1")

        async def has_halted() -> bool:
            return any("rolled back" in line["reason"] for line in site.lines("a1", "council_out"))

        await site.wait_until(has_halted)
        await site.propose("a2", open=60)
        await site.wait_for_all(4)  # a1 still applies the rules
        await site.kill("a2")
        torn = site.folder / "a2" / "council"
        torn.write_bytes(torn.read_bytes()[:-7])
        await site.start_agent("a2")
        await site.wait_for_all(4, "a0", "a1", "a2", "a3", "a4")
        lines = site.lines("a2", "council_out")
        while not (lines := site.lines("a2", "council_out")):
            await asyncio.sleep(0.05)
        self.assertEqual(len(lines), 1)
        self.assertIn("council: cut off", lines[0]["reason"])
        # One voter of three is left: no leases and no new versions, but calls are served.
        await site.wait_for_all(4, "a2", state="alone")
        self.assertEqual((await site.applied("a2"))[1], "alone")
        self.assertEqual((await site.admin("a3", "/admin/health"))["phase"], "ready")
        self.assertEqual(site.audit(), 0.0)

    async def test_a_voter_with_a_failing_or_hanging_disk_delays_no_call(self) -> None:
        site = self.site
        marks = {name: site.folder / f"{name}.disk" for name in ("a0", "a1")}
        await site.start(commands={name: faulty_command("disk", str(mark)) for name, mark in marks.items()})
        await site.wait_for_all(1)
        marks["a1"].write_text("eio")
        await site.propose("a0", open=40)
        await site.wait_for_all(2)
        self.assertIn("disk failed", site.lines("a1", "council_out")[0]["reason"])
        marks["a0"].write_text("hang")  # no vote succeeds while the disk hangs: two voters of three are out
        await site.admin("a2", "/admin/agree/propose", '{"rules": {"open": 45}}')
        await site.wait_for_all(2, state="alone")
        for name in site.names:
            self.assertEqual((await site.admin(name, "/admin/health"))["phase"], "ready")
        site.auditor.add_version(site.newest.with_values(open=45))
        marks["a0"].unlink()
        await site.wait_for_all(3)
        self.assertEqual(site.audit(), 0.0)

    async def test_an_agent_that_applies_rules_after_its_lease_is_caught(self) -> None:
        site = self.site
        await site.start(commands={"a4": faulty_command("eager")})
        await site.wait_for_all(1)
        site.isolate({"a4"})
        await site.propose("a0", open=50)
        await site.wait_for_all(2, "a4")
        self.assertEqual(await site.applied("a4"), (1, "in force"))

        async def logged() -> bool:  # the status shows a version up to one step before the log does
            lines = [line for name in ("a0", "a1", "a2", "a3") for line in site.lines(name, "agree_acts")]
            in_force = any((line["charter"], line["stance"]) == (2, "in force") for line in lines)
            return in_force and bool(site.lines("a4", "agree_acts"))

        await site.wait_until(logged)
        self.assertGreater(site.audit(), 0.0)
