"""The pace at which a zone is returned to."""

import unittest

from seamlb.zones.fleet import SLOT, Paces


class Pacing(unittest.TestCase):
    def test_slots_of_a_whole_fleet_never_come_at_once(self) -> None:
        """Every agent would send at any moment: what a desk gets in any 1.5 s stays at what it bears."""
        for agents in (1, 5, 200):
            rate, paces = 20.0, [Paces() for _ in range(agents)]
            sent, now = [], 0.0
            while now < 30.0:
                now += 0.02
                for number, one in enumerate(paces):
                    if one.may(now, "d", rate / agents, number / agents):
                        one.sent("d")
                        sent.append(now)
            most = max(sum(at <= other < at + 1.5 for other in sent) for at in sent[::7])
            self.assertLessEqual(most / (rate * 1.5), 1.0)
            self.assertGreater(len(sent), 0.6 * rate * 30.0)

    def test_a_slot_that_is_not_used_is_lost(self) -> None:
        paces = Paces()
        for step in range(1000):
            paces.may(step / 10, "d", 0.1, 0.5)
        opened = next(step for step in range(1000, 2000) if paces.may(step / 10, "d", 0.1, 0.5)) / 10
        self.assertTrue(paces.may(opened + SLOT - 0.01, "d", 0.1, 0.5))
        paces.sent("d")
        self.assertFalse(paces.may(opened + SLOT - 0.005, "d", 0.1, 0.5))
