"""State of this access node and its estimates of the servers, shared by all decisions."""

import math
import random
from collections.abc import Sequence

from seamlb import api
from seamlb.estimators import AwakeClock, DecayingValue
from seamlb.observations import EVIDENCE_MAX_AGE_MS, Fleet, Server
from seamlb.policy.ranking import Ranking

DETECTION_STREAK = 5  # the paper's equal detections in a row that change a level, divided by the nodes
STALL_MS = 250.0  # ms between two events above which this process counts as stalled
RATE_FADE_MS = 30000.0  # ms, time constant of the estimated rate of answers
SILENCE_FACTOR = 2.0  # times the recent queueing delay after which a server counts as silent
PRIOR_WEIGHT = 2.0  # answers; weight of the rate expected from the settings


class Node:
    """State of one access node; times are ms of the caller's clock, rates are per ms."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.settings, self.ranking = settings, Ranking.of(settings)
        self.rng = random.Random(seed)
        self.clock = AwakeClock(STALL_MS)
        self.first_event_at = math.inf
        self.answers_per_line = DecayingValue(RATE_FADE_MS)  # rate, from all servers to this node
        self.streak = max(1, round(DETECTION_STREAK / settings.instances))
        self.fleet = Fleet(self.streak)

    def answer_rate(self, now: float, server: Server) -> float:
        """Estimate the set-ups per ms that a warm server takes from this node.

        It is the server's part, by lines, of all answers; at first the tenants' allowances are used instead.
        """
        settings, expected = self.settings, self.ranking.expected_rate
        count, span = (
            (PRIOR_WEIGHT / RATE_FADE_MS, PRIOR_WEIGHT / RATE_FADE_MS / expected) if expected else (0.0, 0.0)
        )
        span += 1.0 - math.exp((self.first_event_at - now) / RATE_FADE_MS)  # the rate starts at zero
        rate = (count / self.fleet.lines + self.answers_per_line.get(now)) / span if span else 0.0
        cold = now - server.cold_from < settings.contract.cold
        # A minimum rate keeps every server in use; for a cold server all nodes together share it.
        return max(rate * server.lines(), 1.0 / RATE_FADE_MS / (settings.instances if cold else 1))

    def silent(self, now: float, server: Server) -> bool:
        """Return whether nothing came back since the oldest unanswered set-up was sent.

        After a time-out the server counts as silent except for an occasional trial set-up.
        """
        awake = self.clock.awake
        if server.last_answer_at < server.timed_out_at:
            return bool(server.pending) or awake - server.last_sent_at < EVIDENCE_MAX_AGE_MS
        oldest = next((set_up.sent_at for set_up in server.pending.values()), math.inf)
        timeout = max(self.ranking.targets[0], SILENCE_FACTOR * server.queue_delay.get(now))
        return server.last_answer_at <= oldest and awake - oldest > timeout

    def excludes(self, now: float, server: Server) -> bool:
        """Return whether the server gets no calls at present, of whatever class."""
        ready = server.entry.availability == api.Availability.READY  # rule 3
        return not ready or self.silent(now, server)

    def record_answer(self, now: float, server: Server) -> None:
        """Record a sign of life; after a long silence the server counts as cold, as it may have restarted.

        This needlessly limits a server that was only unreachable.
        """
        awake = self.clock.awake
        if awake - server.last_answer_at > EVIDENCE_MAX_AGE_MS and self.silent(now, server):
            server.cold_from, server.tokens, server.refilled_at = now, self.rng.random(), now
        server.last_answer_at = awake

    def update_list(self, now: float, event: api.ListChange) -> None:
        """Apply a change of the server list."""
        for server in self.fleet.update(now, event, self.settings.contract.cold):
            # A random first budget, or the first sends of all nodes would coincide.
            server.tokens = self.rng.random()

    def record_report(self, now: float, ident: int, report: Sequence[float]) -> None:
        """Record a server's load report."""
        values = dict(zip(self.settings.fields, report, strict=False))
        self.fleet.record_report(now, ident, values, self.settings.contract.cold)
