"""Ends and times by class, for those who compare two versions."""

from __future__ import annotations

from collections.abc import Coroutine, Mapping

from seamlb.rollout.measures import CanaryMetrics
from seamlb.routing.agent import Agent
from seamlb.subsystems import Subsystem, Table


class MeasuresPart(Subsystem):
    """`/admin/measures`."""

    def __init__(self, agent: Agent) -> None:
        self.measures = CanaryMetrics()
        agent.measure = self.measures.record_outcome

    def tables(self) -> Mapping[str, Table]:
        """The measures, for operators."""
        return {"/admin/measures": self.measures.snapshot}

    def runs(self) -> list[Coroutine[None, None, None]]:
        """The sampling of the loop's lag."""
        return [self.measures.run()]
