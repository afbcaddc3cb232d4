"""Admission: a server's overload level by the deadline conditions, gapping of ranks above their floors."""

from seamlb.observations import Server
from seamlb.policy.deadlines import meets_deadlines
from seamlb.policy.node import DETECTION_STREAK, Node

LEVEL_1_MARGIN = 0.9  # the paper's f, a factor on the right side of (4) and (6)
GAPPING_STEP_MS = 50.0  # ms, the paper's X: from gapping one rank to the next; lifting, not in the paper, too
FLOOR_LOAD = 0.1  # left side of (1) when all ranks run at their floors


class Gate:
    """Levels: 0 admits all ranks, 1 gaps one rank more with each step, 2 gaps all ranks."""

    def __init__(self, node: Node) -> None:
        self.node = node

    def floor_rates(self, now: float, server: Server) -> list[float]:
        """Return the guaranteed rates by rank, calls per ms.

        They satisfy (1) with this node's part of the server's rate in place of 1/x.
        """
        ratios = self.node.ranking.floor_ratios
        scale = FLOOR_LOAD * self.node.answer_rate(now, server) / sum(ratios)
        return [ratio * scale for ratio in ratios]

    def update_level(self, now: float, server: Server) -> None:
        """Test the conditions; the level changes after a streak of equal results."""
        clock, ranking = self.node.clock, self.node.ranking
        if now == clock.stalled_at:
            return
        delay = server.delay_per_set_up(clock.awake)
        floor_by_target = [0.0] * len(ranking.targets)
        for rank, floor in enumerate(self.floor_rates(now, server)):
            floor_by_target[ranking.target_index[rank]] += floor
        remaining = [set_up.due - now for set_up in server.pending.values()]
        queue_delay = server.queue_delay.get(now)  # caused by the set-ups of all nodes

        def meets(margin: float) -> bool:
            in_time = queue_delay < margin * ranking.targets[0]
            return in_time and meets_deadlines(remaining, floor_by_target, delay, ranking.targets, margin)

        server.recent_levels.append(int(not meets(LEVEL_1_MARGIN)) if meets(1.0) else 2)
        if len(server.recent_levels) == self.node.streak:
            server.level = max(min(server.recent_levels), min(server.level, max(server.recent_levels)))
        self._step_gapping(now, server)

    def close(self, now: float, server: Server) -> None:
        """Gap all ranks at once after a set-up has timed out or was refused for overload."""
        server.recent_levels.extend([2] * DETECTION_STREAK)
        server.level = 2
        server.queue_delay.set(now, max(server.queue_delay.get(now), self.node.ranking.longest_target))
        self._step_gapping(now, server)

    def _step_gapping(self, now: float, server: Server) -> None:
        ranks = len(self.node.ranking.floor_ratios)
        if server.level == 2:
            server.gapped_ranks, server.gapping_changed_at = ranks, now
            return
        goal = ranks if server.level == 1 else 0
        steps = min(
            abs(goal - server.gapped_ranks),
            (now - server.gapping_changed_at) // GAPPING_STEP_MS if server.gapped_ranks else 1,
        )
        if steps:
            server.gapped_ranks += int(steps) if goal > server.gapped_ranks else -int(steps)
            server.gapping_changed_at = now

    def admits(self, now: float, server: Server, rank: int) -> bool:
        """Return whether a call of this rank may be sent; a gapped rank still gets its floor rate."""
        if server.gapped_ranks:
            self.update_level(now, server)
        if rank < len(self.node.ranking.floor_ratios) - server.gapped_ranks:
            server.next_admission.pop(rank, None)
            return True
        interval = 1.0 / self.floor_rates(now, server)[rank]
        return now >= server.next_admission.setdefault(rank, now + interval * self.node.rng.random())

    def record_admission(self, now: float, server: Server, rank: int) -> None:
        """Start a gapped rank's next interval once a call of this rank is sent."""
        if rank in server.next_admission:
            interval = 1.0 / self.floor_rates(now, server)[rank]
            server.next_admission[rank] = now + interval - (now - server.next_admission[rank]) % interval
