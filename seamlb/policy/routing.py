"""Choice of a server: the first choice or a weighted random draw, within the rules of the platform."""

import math

from seamlb import api
from seamlb.observations import EVIDENCE_MAX_AGE_MS, Call, Server
from seamlb.policy.cold_start import cold_budget
from seamlb.policy.gating import Gate
from seamlb.policy.node import Node

SPILL_FACTOR = 4.0  # times a server's part by lines that spilled calls may fill it up to
SPILL_BURST = 2.0  # spilled calls at once
NEGLIGIBLE_DELAY_MS = 20.0  # ms of queueing delay that hardly reduce a server's weight


class Router:
    """Chooses servers for attempts."""

    def __init__(self, node: Node, gate: Gate) -> None:
        self.node, self.gate = node, gate

    def route(self, now: float, call: Call) -> Server | None:
        """Return the first choice if it has a free line and admits the call, else another server or None."""
        servers, first_choice, rank = self.node.fleet.servers.values(), call.destination, call.rank
        admits = self.gate.admits
        for candidate in servers:
            if (
                candidate.entry.cell == first_choice
                and self._may_send(now, call, candidate)
                and admits(now, candidate, rank)
            ):
                return candidate
        others = [
            candidate
            for candidate in servers
            if candidate.entry.cell != first_choice and self._may_send(now, call, candidate)
        ]
        others.sort(key=lambda server: self.node.rng.expovariate(draw_weight(now, server) + 1e-9))
        return next((server for server in others if admits(now, server, rank)), None)

    def _may_send(self, now: float, call: Call, server: Server) -> bool:
        entry, settings, spills = server.entry, self.node.settings, server.entry.cell != call.destination
        if entry.server in call.excluded_servers or self.node.excludes(now, server):
            return False
        if settings.network:
            barred = entry.cell == settings.self_number or (call.in_transit and spills) or not server.circuits
        else:
            barred = call.call_class.pools is not None and entry.cell not in call.call_class.pools
        if barred or not self._has_free_lines(now, call, server) or not may_repeat(now, call, entry):
            return False
        return self._within_budget(now, server, spills)

    def _has_free_lines(self, now: float, call: Call, server: Server) -> bool:
        """Return whether enough lines are free beyond those reserved for higher ranks, as last reported.

        A report that is too old is no reason against the server.
        """
        left = server.free_lines - self.node.ranking.reserved_lines[call.rank] * math.sqrt(server.lines())
        return left >= call.width or now - server.reported_at > EVIDENCE_MAX_AGE_MS

    def _within_budget(self, now: float, server: Server, spills: bool) -> bool:
        """Rule 4: this node's part of what a cold server may get; spill to warm servers is bounded too."""
        rules, instances = self.node.settings.contract, self.node.settings.instances
        warmed = (now - server.cold_from) / rules.cold
        rate, factor, burst = self.node.answer_rate(now, server), SPILL_FACTOR, SPILL_BURST
        if warmed < 1.0:
            factor = rules.start_capacity + (1.0 - rules.start_capacity) * max(warmed, 0.0)
            factor *= rules.fall_multiple
            used, burst = cold_budget(rate * factor * rules.fall * instances, instances)
            factor *= used
        server.tokens = min(burst, max(server.tokens, -burst) + (now - server.refilled_at) * rate * factor)
        server.refilled_at = now
        return server.tokens >= 1.0 or (warmed >= 1.0 and not spills)


def draw_weight(now: float, server: Server) -> float:
    """Return a server's weight in the draw: lines over queueing delay, reduced by the share of errors."""
    return server.lines() * (1.0 - server.error_share) / (NEGLIGIBLE_DELAY_MS + server.queue_delay.get(now))


def may_repeat(now: float, call: Call, entry: api.ListEntry) -> bool:
    """Rule 2: an attempt that may have run is repeated only where the effect of its class allows it."""
    if call.first_run is None or call.call_class.effect == "free":
        return True
    first, sent_at = call.first_run
    same_group = {"all": True, "zone": first.zone == entry.zone, "cell": first.cell == entry.cell}[
        call.call_class.group
    ]
    return call.call_class.effect != "single_shot" and same_group and now < sent_at + call.call_class.window
