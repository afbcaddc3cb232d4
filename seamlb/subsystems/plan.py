"""Steering by a plan, which may also be enabled on SIGHUP."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from seamlb.config import Config
from seamlb.extras import Plugins
from seamlb.routing.agent import Agent
from seamlb.subsystems import Subsystem

if TYPE_CHECKING:
    from seamlb.planning.follow import FollowedPlan, PlanFollower

STEP_INTERVAL_S = 0.25  # between two updates of the plan's shares


class PlanSubsystem(Subsystem):
    """`[plan]`; `schedule` takes an interval in seconds, a name and a function to call periodically."""

    RELOADABLE = ("plan",)

    def __init__(
        self,
        config: Config,
        initial_plan: FollowedPlan | None,
        agent: Agent,
        schedule: Callable[[float, str, Callable[[], None]], None],
    ) -> None:
        self.config, self.initial_plan, self.agent, self.schedule = config, initial_plan, agent, schedule
        self.follower: PlanFollower | None = None

    @property
    def settings_need_restart(self) -> bool:  # type: ignore[override]
        """Settings cannot change while a plan is followed."""
        return self.follower is not None

    async def on_ready(self) -> None:
        """Follow the plan in the files, if any."""
        if self.initial_plan:
            self.follow(self.initial_plan)

    def follow(self, plan: FollowedPlan) -> None:
        """Start steering calls by a plan."""
        # Imported only when enabled: a daemon without plug-ins has none of these libraries.
        from seamlb.planning.follow import PlanFollower

        self.follower = self.agent.steering = PlanFollower(self.config.settings, self.config.tenants)
        self.follower.update_desks(self.agent.clock(), self.agent.listed.values())
        self.follower.set_plan(self.agent.clock(), plan)
        self.agent.apply_steering()
        self.schedule(STEP_INTERVAL_S, "plan", self.agent.apply_steering)

    def reload(self, config: Config, plugins: Plugins) -> None:
        """Follow the new plan in the files."""
        if self.follower:
            self.follower.set_plan(self.agent.clock(), plugins.plan)
            self.agent.apply_steering()
        elif plugins.plan:
            self.config = config
            self.follow(plugins.plan)
