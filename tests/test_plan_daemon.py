"""A daemon that follows a plan: first choices, SIGHUP with valid and invalid plans, lost desks."""

import tempfile
from pathlib import Path
from typing import Any

from seamlb import api
from seamlb.config import Config, ConfigError
from seamlb.daemon import Daemon
from seamlb.extras import Plugins, load_plugins
from seamlb.planning.files import load_problem
from seamlb.planning.plan_files import save_plan
from seamlb.planning.solve import solve
from tests.loopback import DaemonTestCase, ScriptedDesk, config, invite
from tests.support import RAW

PROBLEM = """
[[district]]
name = "here"
[[office]]
name = "o"
share = 1.0
[[class]]
name = "a"
worth = 1
holding_s = 10
[[desk]]
name = "d0"
district = "here"
agents = 9
setups_per_s = 9
skills = ["a"]
fixed_cost = {first}
[[desk]]
name = "d1"
district = "here"
agents = 9
setups_per_s = 9
skills = ["a"]
fixed_cost = 5
[[demand]]
class = "a"
district = "here"
erlangs = 2
"""
TABLE = '[plan]\nfile = "plan.toml"\nproblem = "problem.toml"\n'


class PlanTestCase(DaemonTestCase):
    """Plan files in a temporary folder, and an agent with two desks."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.config: Config = config(settings=RAW | {"Tenants": [{"Name": "o", "AllowancePerS": 9}]})

    def write(self, first: int, table: str = TABLE) -> None:
        """Write a plan that places the class at the cheaper desk."""
        (self.folder / "problem.toml").write_text(PROBLEM.format(first=first))
        problem = load_problem(self.folder / "problem.toml")
        save_plan(self.folder / "plan.toml", problem, solve(problem))
        (self.folder / "plugins.toml").write_text(table)

    def read(self) -> Plugins:
        return load_plugins(str(self.folder / "plugins.toml"), self.config)

    async def follow(self, *desks: ScriptedDesk, **change: Any) -> Daemon:
        daemon = Daemon(self.config, self.read(), lambda: (self.config, self.read()))
        self.addAsyncCleanup(self._stop, daemon, desks)
        await daemon.start()
        self.address = f"127.0.0.1:{daemon.front.listener.port}"
        self.listed = [self.desk(number, await desk.start()) for number, desk in enumerate(desks)]
        daemon.agent.list_changed(api.Scope.CACHED, self.listed)
        for index in range(len(desks)):
            await self.eventually(lambda index=index: daemon.agent.module.node.fleet.servers[index].reported_at > 0)
            self.fill_budget(daemon, index)
        return daemon

    async def call(self, ident: str) -> None:
        """Make a call whose request names desk 0 as its first choice."""
        caller = await self.caller()
        caller.send(invite(ident))
        self.assertEqual((await caller.until(200)).get("call-id"), ident)


class PlanFollowingTest(PlanTestCase):
    async def test_first_choices_follow_the_plan_and_change_on_sighup(self) -> None:
        self.write(first=9)  # desk 1 is cheaper
        first, second = ScriptedDesk(), ScriptedDesk()
        daemon = await self.follow(first, second)
        await self.call("00000000000000a1")
        await second.until("INVITE")
        self.write(first=1)
        daemon.reload()
        self.assertEqual(self.events("reloaded")[-1]["waits_for_restart"], [])
        await self.call("00000000000000a2")
        await first.until("INVITE")
        # Without a plan the first choice of the request is used; a new plan is followed again.
        (self.folder / "plugins.toml").write_text("")
        daemon.reload()
        self.write(first=9)
        assert daemon.plan.follower is not None
        self.assertIsNone(daemon.plan.follower.followed)
        self.assertIs(daemon.agent.module.node.settings, daemon.config.settings)
        daemon.reload()
        await self.call("00000000000000a3")
        await second.until("INVITE")

    async def test_an_invalid_plan_leaves_the_old_one_in_use(self) -> None:
        self.write(first=9)
        first, second = ScriptedDesk(), ScriptedDesk()
        daemon = await self.follow(first, second)
        valid_plan = (self.folder / "plan.toml").read_text()
        other_problem = PROBLEM.format(first=9).replace("agents = 9", "agents = 8")
        for text, problem, reason in (
            (valid_plan[: len(valid_plan) // 2], None, "plan.toml"),  # truncated
            ("", None, "plan.toml"),
            (valid_plan.replace("units = 20", "units = 21"), None, "arrive at desks"),  # edited by hand
            (valid_plan, other_problem, "another problem"),
            (valid_plan, PROBLEM.format(first=9).replace('"a"', '"zz"'), "another problem"),
        ):
            (self.folder / "plan.toml").write_text(text)
            (self.folder / "problem.toml").write_text(problem or PROBLEM.format(first=9))
            before = daemon.plan.follower.followed if daemon.plan.follower else None
            daemon.reload()
            self.assertIn(reason, self.events("reload_failed")[-1]["error"])
            assert daemon.plan.follower is not None and before is not None
            self.assertIs(daemon.plan.follower.followed, before)
        self.assertEqual(len(self.events("reload_failed")), 5)
        await self.call("00000000000000a1")
        await second.until("INVITE")

    async def test_a_class_without_a_planned_desk_keeps_a_first_choice(self) -> None:
        self.write(first=9)
        first, second = ScriptedDesk(), ScriptedDesk()
        daemon = await self.follow(first, second)
        daemon.agent.list_changed(api.Scope.CACHED, self.listed[:1])
        await self.call("00000000000000a1")
        await first.until("INVITE")
        self.assertEqual(len(self.events("plan_class_unplaced")), 0)  # logged with the next step
        daemon.agent.apply_steering()
        self.assertEqual(len(self.events("plan_class_unplaced")), 1)
        self.assertEqual(self.events("plan_desks_missing")[-1]["desks"], ["d1"])

    async def test_a_plan_is_enabled_on_sighup(self) -> None:
        self.write(first=9, table="")
        first, second = ScriptedDesk(), ScriptedDesk()
        daemon = await self.follow(first, second)
        await self.call("00000000000000a1")
        await first.until("INVITE")
        (self.folder / "plugins.toml").write_text(TABLE)
        daemon.reload()
        await self.call("00000000000000a2")
        await second.until("INVITE")

    def test_invalid_plan_tables_are_rejected(self) -> None:
        for table, reason in (
            (TABLE + 'district = "nowhere"\n', "unknown district"),
            (TABLE + 'until = "2026-12-02T00:00:00"\n', "time zone"),
            (TABLE + 'until = "soon"\n', "soon"),
            (TABLE + "colour = 1\n", "plan.colour: unknown key"),
            (TABLE.replace("plan.toml", "none.toml"), "No such file"),
            ('[plan]\nfile = "plan.toml"\n', "problem"),
        ):
            self.write(first=9, table=table)
            with self.assertRaisesRegex(ConfigError, reason):
                self.read()
        self.write(first=9, table=TABLE + 'until = "2026-12-02T00:00:00+01:00"\n')
        followed = self.read().plan
        assert followed is not None
        self.assertEqual(followed.until_ms, 1796166000000.0)
        self.config = config(settings=RAW | {"Tenants": [{"Name": "x", "AllowancePerS": 9}]})
        with self.assertRaisesRegex(ConfigError, "unknown office 'o'"):
            self.read()
