"""Results and times to answer by class, for the comparison of two versions in a rollout."""

from __future__ import annotations

from collections.abc import Coroutine, Mapping

from seamlb.rollout.measures import Measures
from seamlb.routing.agent import Agent
from seamlb.subsystems import Subsystem, View


class MeasuresSubsystem(Subsystem):
    """`/admin/measures`."""

    def __init__(self, agent: Agent) -> None:
        self.measures = Measures()
        agent.measure = self.measures.ended

    def views(self) -> Mapping[str, View]:
        """The measures."""
        return {"/admin/measures": self.measures.table}

    def background_tasks(self) -> list[Coroutine[None, None, None]]:
        """Samples the lag of the event loop."""
        return [self.measures.run()]
