"""Admission: a server's level by the deadline conditions, and gapping of ranks above their floors."""

from seamlb.observations import Server
from seamlb.policy.deadlines import meets_deadlines
from seamlb.policy.node import STREAK, Node

MARGIN = 0.9  # the paper's f, a factor on the right side of (4) and (6), for level 1
STEP_MS = 50.0  # ms, the paper's X, between gapping (DESIGN: and lifting) one rank and the next
FLOOR_LOAD = 0.1  # left side of (1) when all ranks run at their floors


class Gate:
    """Levels: 0 takes all ranks, 1 gaps one rank more with each step, 2 gaps all of them."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def floors(self, now: float, server: Server) -> list[float]:
        """Guaranteed rates per rank; (1) holds with this node's part of the server in place of 1/x."""
        ratios = self.node.ranking.floor_ratios
        scale = FLOOR_LOAD * self.node.answer_rate(now, server) / sum(ratios)
        return [ratio * scale for ratio in ratios]

    def detect(self, now: float, server: Server) -> None:
        """Test the conditions; after a streak of equal verdicts the level follows."""
        clock, ranking = self.node.clock, self.node.ranking
        if now == clock.stalled_at:
            return
        delay = server.delay(clock.awake)
        per_limit = [0.0] * len(ranking.limits)
        for rank, floor in enumerate(self.floors(now, server)):
            per_limit[ranking.limit_of[rank]] += floor
        remaining = [one.due - now for one in server.pending.values()]
        wait = server.wait.get(now)  # the backlog of all nodes ahead, as last known

        def meets(margin: float) -> bool:
            in_time = wait < margin * ranking.limits[0]
            return in_time and meets_deadlines(remaining, per_limit, delay, ranking.limits, margin)

        server.verdicts.append(int(not meets(MARGIN)) if meets(1.0) else 2)
        if len(server.verdicts) == self.node.streak:
            server.level = max(min(server.verdicts), min(server.level, max(server.verdicts)))
        self._step(now, server)

    def close(self, now: float, server: Server) -> None:
        """Gap all ranks at once: a set-up has run out of time or was turned away."""
        server.verdicts.extend([2] * STREAK)
        server.level = 2
        server.wait.put(now, max(server.wait.get(now), self.node.ranking.longest))
        self._step(now, server)

    def _step(self, now: float, server: Server) -> None:
        ranks = len(self.node.ranking.floor_ratios)
        if server.level == 2:
            server.depth, server.stepped = ranks, now
            return
        goal = ranks if server.level == 1 else 0
        steps = min(abs(goal - server.depth), (now - server.stepped) // STEP_MS if server.depth else 1)
        if steps:
            server.depth += int(steps) if goal > server.depth else -int(steps)
            server.stepped = now

    def passes(self, now: float, server: Server, rank: int) -> bool:
        """Does a call of this rank get through? A gapped rank keeps its floor."""
        if server.depth:
            self.detect(now, server)
        if rank < len(self.node.ranking.floor_ratios) - server.depth:
            server.opens.pop(rank, None)
            return True
        gap = 1.0 / self.floors(now, server)[rank]
        return now >= server.opens.setdefault(rank, now + gap * self.node.rng.random())

    def passed(self, now: float, server: Server, rank: int) -> None:
        """A call of this rank goes there: a gapped rank's next interval begins."""
        if rank in server.opens:
            gap = 1.0 / self.floors(now, server)[rank]
            server.opens[rank] = now + gap - (now - server.opens[rank]) % gap
