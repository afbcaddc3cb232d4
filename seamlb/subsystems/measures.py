"""Results and times to answer by class, for the comparison of two versions in a rollout."""

from __future__ import annotations

from collections.abc import Coroutine, Mapping

from seamlb.rollout.metrics import CanaryMetrics
from seamlb.routing.agent import Agent
from seamlb.subsystems import Subsystem, View


class MeasuresSubsystem(Subsystem):
    """`/admin/measures`."""

    def __init__(self, agent: Agent) -> None:
        self.metrics = CanaryMetrics()
        agent.measure = self.metrics.record_outcome

    def views(self) -> Mapping[str, View]:
        """The metrics."""
        return {"/admin/measures": self.metrics.snapshot}

    def background_tasks(self) -> list[Coroutine[None, None, None]]:
        """Samples the lag of the event loop."""
        return [self.metrics.run()]
