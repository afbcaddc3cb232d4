"""Changes on fleets of real processes, with faults between them: requests lost, doubled and refused are counted."""

import asyncio
import os
import shutil
import signal
import socket
import tempfile
import unittest
from pathlib import Path
from typing import Any

from tests.callers import OpenLoopCallers
from tests.fleet import Fleet, faulty_command

RATE = 80.0  # calls a second over the whole fleet
SURE = {"false_stop": 1e-6}  # where two equal versions must not be told apart, however loaded the machine is


class Changes(unittest.IsolatedAsyncioTestCase):
    async def fleet(self, size: int = 5, injected: bool = False, **environment: str) -> Fleet:
        fleet = Fleet(Path(self.enterContext(tempfile.TemporaryDirectory())), size, injected=injected)
        self.addAsyncCleanup(fleet.stop)
        await fleet.start(**environment)
        self.callers = OpenLoopCallers(list(fleet.listens.values()), RATE)
        self.addAsyncCleanup(self.callers.stop)
        return fleet

    def plan(
        self,
        fleet: Fleet,
        *command: str,
        bake: float = 1.5,
        sizes: tuple[Any, ...] = (1, "all"),
        name: str = "plan.toml",
        **keys: Any,
    ) -> str:
        stages = [{"agents": size, "bake": bake, "most": 40.0} for size in sizes]
        return str(
            fleet.plan(
                fleet.revision("new", faulty_command(*command)),
                stages,
                name=name,
                **({"settle": 0.5, "silence": 5.0, "surge": 2} | keys),
            )
        )

    def reason(self, fleet: Fleet, state: str = "state") -> str:
        return str(next((one["reason"] for one in fleet.events(state, "rollout_back")), ""))

    async def whole(self, fleet: Fleet, revision: str) -> None:
        """Every agent runs that revision alone, and no call was lost, doubled or refused on the way."""
        await self.callers.stop()
        self.assertEqual(set(fleet.serving()), {revision})
        self.assertEqual([fleet.revision_of(name) for name in fleet.at], [revision] * fleet.size)
        self.assertEqual((self.callers.lost, fleet.duplicated_calls), ([], []))
        self.assertGreater(self.callers.outcomes["fulfilled"], 100)
        self.assertLessEqual(self.callers.outcomes.keys(), {"fulfilled", "refused"})

    async def test_a_change_and_its_roll_back_lose_no_call_and_a_second_conductor_is_refused(self) -> None:
        fleet = await self.fleet(6)
        plan = self.plan(fleet, "equal", bake=4.0, sizes=(1, "50 %", "all"), **SURE)
        first = await fleet.start_controller("start", plan)
        await fleet.until(lambda: fleet.events("state", "rollout_stage"))
        second = await fleet.start_controller("start", plan, state="other")
        self.assertEqual(await second.wait(), 1)
        self.assertRegex((fleet.folder / "other.log").read_text(), r"a\d: held by|is not over")
        third = await fleet.start_controller("start", plan)
        self.assertEqual(await third.wait(), 1)
        self.assertIn("another conductor is at work here", (fleet.folder / "state.log").read_text())
        for name in fleet.at:  # files are read again in the middle of it: the same revision's
            os.kill(fleet.agent_pid(name), signal.SIGHUP)
        self.assertEqual(await first.wait(), 0)
        self.assertEqual(set(fleet.serving()), {"new"})
        self.assertFalse(any(fleet.events(name, "reload_failed") for name in fleet.at))

        # The same way back: what was new is left for another, in one stage, and called off in the middle.
        text = (fleet.folder / "plan.toml").read_text().replace('name = "old"', 'name = "x"')
        text = text.replace("[old]", "[swap]").replace("[new]", "[old]").replace("[swap]", "[new]")
        (fleet.folder / "next.toml").write_text(text)
        again = await fleet.start_controller("start", str(fleet.folder / "next.toml"))
        await fleet.until(lambda: any(one["agents"] == 3 for one in fleet.events("state", "rollout_stage")[3:]))
        abort = await fleet.start_controller("abort")
        self.assertEqual(await abort.wait(), 0)
        self.assertEqual(await again.wait(), 3)
        await self.whole(fleet, "new")

    async def test_a_version_that_refuses_more_of_one_class_or_is_slow_at_the_tail_is_taken_back(self) -> None:
        fleet = await self.fleet()
        for way, says in (("refuse", r"worse: b (refused|not fulfilled)"), ("slow", r"worse: [ab] slower than")):
            with self.subTest(way=way):
                plan = self.plan(fleet, way, bake=30.0, sizes=(2, "all"), name=f"{way}.toml")
                conductor = await fleet.start_controller("start", plan, state=way)
                self.assertEqual(await conductor.wait(), 3)
                self.assertRegex(self.reason(fleet, way), says)
                self.assertEqual(set(fleet.serving()), {"old"})
        await self.whole(fleet, "old")

    async def test_a_version_that_does_not_come_up_or_crashes_later_is_taken_back(self) -> None:
        fleet = await self.fleet(CRASH_AFTER="3.5")
        ways = (
            (("crash",), "a0: ended before it served: exit code 7"),
            (("unreadable", "a2"), "a2: ended before it served: exit code 2"),
            (("crash-later",), "a0: ended by itself 1 times"),
        )
        for way, says in ways:
            with self.subTest(way=way):
                plan = self.plan(fleet, *way, bake=2.0, name=f"{way[0]}.toml", settle=2.0, crashes=0, **SURE)
                conductor = await fleet.start_controller("start", plan, state=way[0])
                self.assertEqual(await conductor.wait(), 3)
                self.assertIn(says, self.reason(fleet, way[0]))
                self.assertEqual(set(fleet.serving()), {"old"})
        await self.callers.stop()
        self.assertEqual(fleet.duplicated_calls, [])
        # What a process had when it crashed is lost with it, and only that: the queue waits in the keeper's socket.
        self.assertLess(len(self.callers.lost), 0.05 * self.callers.outcomes.total())

    async def test_conductors_and_an_agent_killed_in_the_middle(self) -> None:
        fleet = await self.fleet()
        conductor = await fleet.start_controller("start", self.plan(fleet, "equal", sizes=(1, 3, "all"), **SURE))
        for mark in ("rollout_order", "rollout_stage", "rollout_stage"):
            seen = len(fleet.events("state", mark))
            await fleet.until(lambda mark=mark, seen=seen: len(fleet.events("state", mark)) > seen)
            conductor.kill()
            await conductor.wait()
            conductor = await fleet.start_controller("resume")
        os.kill(fleet.agent_pid("a0"), signal.SIGKILL)  # a fault of the machine, within what the plan bears
        self.assertEqual(await conductor.wait(), 0)
        await fleet.until(lambda: len(fleet.events("a0", "process_start")) == 3)
        await self.callers.stop()
        self.assertEqual(set(fleet.serving()), {"new"})
        self.assertEqual(fleet.duplicated_calls, [])
        self.assertEqual([one for one in self.callers.lost if fleet.listens["a0"] not in one], [])

    async def test_no_verdict_from_a_link_that_stalls_and_doubled_orders_are_given_once(self) -> None:
        fleet = await self.fleet(injected=True)
        fleet.injectors["a1"].twice = True
        fleet.injectors["a2"].delay = 0.2
        conductor = await fleet.start_controller("start", self.plan(fleet, "equal", bake=3.0, **SURE))
        await fleet.until(lambda: fleet.events("a0", "ordered"))
        await fleet.until(lambda: len(fleet.events("a0", "process_start")) == 2)
        fleet.injectors["a0"].mode = "drop"
        for writer in list(fleet.injectors["a0"].open):
            writer.transport.abort()
        await fleet.until(lambda: self.reason(fleet))
        self.assertRegex(self.reason(fleet), r"a0: (nothing heard|no figures) for \d+ s")
        self.assertFalse(fleet.events("state", "rollout_stage"))
        fleet.injectors["a0"].mode = "pass"  # it can be reached again: only now it is taken back
        self.assertEqual(await conductor.wait(), 3)

        conductor = await fleet.start_controller("start", self.plan(fleet, "equal", **SURE))
        self.assertEqual(await conductor.wait(), 0)
        self.assertEqual(len(fleet.events("a1", "process_start")), 2)  # each order came twice
        await self.whole(fleet, "new")

    async def test_files_that_lie_are_not_acted_on(self) -> None:
        fleet = await self.fleet(3)
        state = fleet.folder / "state"
        conductor = await fleet.start_controller("start", self.plan(fleet, "equal", bake=3.0, **SURE))
        await fleet.until(lambda: fleet.events("state", "rollout_order"))
        shutil.copy(state / "change", fleet.folder / "earlier")
        await fleet.until(lambda: fleet.events("a1", "ordered"))  # so the fleet has heard of the next stage
        conductor.kill()
        await conductor.wait()
        good = (state / "change").read_bytes()
        for what, says in ((good[:-7], "cut off"), (good.replace(b"forward", b"forwarD"), "checksum wrong")):
            (state / "change").write_bytes(what)
            conductor = await fleet.start_controller("resume")
            self.assertEqual(await conductor.wait(), 2)
            self.assertIn(says, (fleet.folder / "state.log").read_text())
        shutil.copy(fleet.folder / "earlier", state / "change")
        conductor = await fleet.start_controller("resume")
        self.assertEqual(await conductor.wait(), 1)
        self.assertIn("older than what was told here: 1 after 2", (fleet.folder / "state.log").read_text())
        (state / "change").write_bytes(good)
        conductor = await fleet.start_controller("resume")
        self.assertEqual(await conductor.wait(), 0)
        await self.whole(fleet, "new")

    async def test_a_keeper_that_is_killed_is_followed_by_one_that_knows_what_runs(self) -> None:
        fleet = await self.fleet(2)
        conductor = await fleet.start_controller("start", self.plan(fleet, "equal", **SURE))
        self.assertEqual(await conductor.wait(), 0)
        orphan = fleet.agent_pid("a0")
        fleet.supervisors["a0"].kill()
        await fleet.supervisors["a0"].wait()
        await asyncio.sleep(0.5)  # the orphan serves on
        await fleet.start_supervisor("a0")
        await fleet.until(lambda: len(fleet.events("a0", "process_start")) == 3)
        await fleet.until(lambda: len(fleet.events("a0", "ended")) == 2)
        self.assertEqual(fleet.events("a0", "orphans")[0]["pids"], [orphan])
        self.assertEqual(fleet.revision_of("a0"), "new")
        self.assertNotEqual(fleet.agent_pid("a0"), orphan)
        served = self.callers.outcomes["fulfilled"]
        await fleet.until(lambda: self.callers.outcomes["fulfilled"] > served + 40)
        await self.callers.stop()
        self.assertEqual(fleet.duplicated_calls, [])

        twin = await fleet.run("twin", "keep", str(fleet.folder / "a0.toml"))
        self.assertEqual(await twin.wait(), 1)
        self.assertIn("another keeper works in", (fleet.folder / "twin.log").read_text())
        with socket.create_server(("127.0.0.1", 0)) as taken:
            text = (fleet.folder / "a1.toml").read_text()
            text = text.replace(fleet.listens["a1"], "{}:{}".format(*taken.getsockname())).replace('"a1"', '"s"')
            (fleet.folder / "s.toml").write_text(text)
            stranger = await fleet.run("stranger", "keep", str(fleet.folder / "s.toml"))
            self.assertEqual(await stranger.wait(), 1)
            self.assertIn("Address already in use", (fleet.folder / "stranger.log").read_text())
