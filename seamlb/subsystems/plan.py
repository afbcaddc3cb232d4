"""Steering by a plan, which may also be switched on at SIGHUP."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from seamlb.config import Config
from seamlb.extras import Plugins
from seamlb.routing.agent import Agent
from seamlb.subsystems import Subsystem

if TYPE_CHECKING:
    from seamlb.planning.follow import Followed, Guide

EVERY = 0.25  # seconds between two looks at the plan's shares


class PlanPart(Subsystem):
    """`[plan]`; `every` has something done again and again from now on."""

    TAKES = ("plan",)

    def __init__(
        self,
        config: Config,
        first: Followed | None,
        agent: Agent,
        every: Callable[[float, str, Callable[[], None]], None],
    ) -> None:
        self.config, self.first, self.agent, self.every = config, first, agent, every
        self.follower: Guide | None = None

    @property
    def steady(self) -> bool:  # type: ignore[override]
        """Do new settings wait for a restart?"""
        return self.follower is not None

    async def begin(self) -> None:
        """Follow the plan of the files."""
        if self.first:
            self.follow(self.first)

    def follow(self, plan: Followed) -> None:
        """Steer calls by a plan from now on."""
        # Imported where it is switched on: the platform's path has none of these libraries.
        from seamlb.planning.follow import Guide

        self.follower = self.agent.steering = Guide(self.config.settings, self.config.tenants)
        self.follower.update_desks(self.agent.clock(), self.agent.listed.values())
        self.follower.adopt(self.agent.clock(), plan)
        self.agent.apply_steering()
        self.every(EVERY, "plan", self.agent.apply_steering)

    def reload(self, config: Config, plugins: Plugins) -> None:
        """Follow the files' new plan."""
        if self.follower:
            self.follower.adopt(self.agent.clock(), plugins.plan)
            self.agent.apply_steering()
        elif plugins.plan:
            self.config = config
            self.follow(plugins.plan)
