"""Where a call goes: the first choice or a weighted draw, within the rules of the platform."""

import math

from seamlb import api
from seamlb.observations import RECOVER_MS, Call, Server
from seamlb.policy.cold_start import cold_budget
from seamlb.policy.gating import Gate
from seamlb.policy.node import Node

SPILL = 4.0  # times its part by lines that spill may fill a server up to
SPILL_BURST = 2.0  # spilt calls at once
LIGHT_MS = 20.0  # ms of delay that hardly count against a route


class Router:
    """Chooses servers for attempts."""

    def __init__(self, node: Node, gate: Gate) -> None:
        self.node, self.gate = node, gate

    def route(self, now: float, call: Call) -> Server | None:
        """The first choice if it shows a free line and its gate passes; only else the others are weighed."""
        servers, first, rank = self.node.fleet.servers.values(), call.destination, call.rank
        passes = self.gate.passes
        for one in servers:
            if one.entry.cell == first and self._may_send(now, call, one) and passes(now, one, rank):
                return one
        rest = [one for one in servers if one.entry.cell != first and self._may_send(now, call, one)]
        rest.sort(key=lambda server: self.node.rng.expovariate(weight(now, server) + 1e-9))
        return next((server for server in rest if passes(now, server, rank)), None)

    def _may_send(self, now: float, call: Call, server: Server) -> bool:
        entry, settings, spills = server.entry, self.node.settings, server.entry.cell != call.destination
        if entry.server in call.tried or self.node.excludes(now, server):
            return False
        if settings.network:
            barred = entry.cell == settings.self_number or (call.in_transit and spills) or not server.circuits
        else:
            barred = call.kind.pools is not None and entry.cell not in call.kind.pools
        if barred or not self._shows_lines(now, call, server) or not may_repeat(now, call, entry):
            return False
        return self._has_room(now, server, spills)

    def _shows_lines(self, now: float, call: Call, server: Server) -> bool:
        """Does it show free lines enough? Cheaper ranks leave some to dearer ones; reports age."""
        left = server.idle - self.node.ranking.reserve[call.rank] * math.sqrt(server.size())
        return left >= call.width or now - server.reported_at > RECOVER_MS

    def _has_room(self, now: float, server: Server, spills: bool) -> bool:
        """Rule 4: this node's part of what a cold server may get; spill onto warm servers is bounded too."""
        rules, instances = self.node.settings.contract, self.node.settings.instances
        warmed = (now - server.cold_from) / rules.cold
        part, grown, top = self.node.answer_rate(now, server), SPILL, SPILL_BURST
        if warmed < 1.0:
            grown = rules.start_capacity + (1.0 - rules.start_capacity) * max(warmed, 0.0)
            grown *= rules.fall_multiple
            used, top = cold_budget(part * grown * rules.fall * instances, instances)
            grown *= used
        server.tokens = min(top, max(server.tokens, -top) + (now - server.filled) * part * grown)
        server.filled = now
        return server.tokens >= 1.0 or (warmed >= 1.0 and not spills)


def weight(now: float, server: Server) -> float:
    """A server's part of the draw: its lines over its delay, less the share of its faults."""
    return server.size() * (1.0 - server.faults) / (LIGHT_MS + server.wait.get(now))


def may_repeat(now: float, call: Call, entry: api.ListEntry) -> bool:
    """Rule 2: an attempt that may have run is repeated only where its effect allows."""
    if call.ran is None or call.kind.effect == "free":
        return True
    first, sent = call.ran
    same = {"all": True, "zone": first.zone == entry.zone, "cell": first.cell == entry.cell}[call.kind.group]
    return call.kind.effect != "single_shot" and same and now < sent + call.kind.window
