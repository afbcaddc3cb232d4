"""The limit on calls to the desks of a zone during a return."""

import unittest

from seamlb.zones.failover import SLOT_S, ReturnPacer


class ReturnPacing(unittest.TestCase):
    def test_slots_of_a_whole_fleet_never_exceed_a_desks_capacity(self) -> None:
        """With a call waiting at each agent all the time, a desk gets at most its capacity in any 1.5 s."""
        for agents in (1, 5, 200):
            rate, pacers = 20.0, [ReturnPacer() for _ in range(agents)]
            sent, now = [], 0.0
            while now < 30.0:
                now += 0.02
                for number, pacer in enumerate(pacers):
                    if pacer.allows(now, "d", rate / agents, number / agents):
                        pacer.sent("d")
                        sent.append(now)
            peak = max(sum(at <= other < at + 1.5 for other in sent) for at in sent[::7])
            self.assertLessEqual(peak / (rate * 1.5), 1.0)
            self.assertGreater(len(sent), 0.6 * rate * 30.0)

    def test_unused_slot_expires(self) -> None:
        pacer = ReturnPacer()
        for step in range(1000):
            pacer.allows(step / 10, "d", 0.1, 0.5)
        opened = next(step for step in range(1000, 2000) if pacer.allows(step / 10, "d", 0.1, 0.5)) / 10
        self.assertTrue(pacer.allows(opened + SLOT_S - 0.01, "d", 0.1, 0.5))
        pacer.sent("d")
        self.assertFalse(pacer.allows(opened + SLOT_S - 0.005, "d", 0.1, 0.5))
