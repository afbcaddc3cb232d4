"""What this node knows of itself and of the fleet; the decisions share it."""

import math
import random
from collections.abc import Sequence

from seamlb import api
from seamlb.estimators import AwakeClock, DecayingValue
from seamlb.observations import RECOVER_MS, Fleet, Server
from seamlb.policy.ranking import Ranking

STREAK = 5  # the paper's consecutive detections before a level changes, of all nodes: each sees its part
STALL_MS = 250.0  # ms between two events beyond which this node stood still
FADE_MS = 30000.0  # ms, time constant of this node's rate of answers
SILENT_TIMES = 2.0  # times its recent slowness after which a server is silent
USUAL = 2.0  # answers that what the settings let a node expect weighs as much as


class Node:
    """State of one access node; times are milliseconds of the clock, rates are per millisecond."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.ranking = settings, Ranking.of(settings)
        self.rng = random.Random(seed)
        self.clock = AwakeClock(STALL_MS)
        self.began = math.inf  # the first event
        self.answers = DecayingValue(FADE_MS)  # of all servers to this node, per line
        self.streak = max(1, round(STREAK / settings.instances))
        self.fleet = Fleet(self.streak)

    def answer_rate(self, now: float, server: Server) -> float:
        """Set-ups to count on from it once warm: by lines, of all answers, at first of all allowances."""
        settings, usual = self.settings, self.ranking.usual
        count, span = (USUAL / FADE_MS, USUAL / FADE_MS / usual) if usual else (0.0, 0.0)
        span += 1.0 - math.exp((self.began - now) / FADE_MS)  # the rate began at nought
        rate = (count / self.fleet.lines + self.answers.get(now)) / span if span else 0.0
        cold = now - server.cold_from < settings.contract.cold
        # At least a trickle, which of all nodes together must not be much where a server is cold.
        return max(rate * server.size(), 1.0 / FADE_MS / (settings.instances if cold else 1))

    def silent(self, now: float, server: Server) -> bool:
        """Nothing back since the oldest set-up unanswered; after a time-out it is tried now and then."""
        awake = self.clock.awake
        if server.heard < server.lost:
            return bool(server.pending) or awake - server.sent < RECOVER_MS
        oldest = next((one.sent for one in server.pending.values()), math.inf)
        patience = max(self.ranking.limits[0], SILENT_TIMES * server.wait.get(now))
        return server.heard <= oldest and awake - oldest > patience

    def excludes(self, now: float, server: Server) -> bool:
        """Does it get no call now, whichever it is?"""
        ready = server.entry.availability == api.Availability.READY  # rule 3
        return not ready or self.silent(now, server)

    def heard(self, now: float, server: Server) -> None:
        """Heard again after a long silence it counts as cold; harms when it was only out of reach."""
        awake = self.clock.awake
        if awake - server.heard > RECOVER_MS and self.silent(now, server):
            server.cold_from, server.tokens, server.filled = now, self.rng.random(), now
        server.heard = awake

    def update(self, now: float, event: api.ListChange) -> None:
        """Take news of the list."""
        for server in self.fleet.update(now, event, self.settings.contract.cold):
            # The budget begins at random, or all nodes' first sends would come at the same moment.
            server.tokens = self.rng.random()

    def report(self, now: float, ident: int, report: Sequence[float]) -> None:
        """Take a server's load report."""
        seen = dict(zip(self.settings.fields, report, strict=False))
        self.fleet.report(now, ident, seen, self.settings.contract.cold)
