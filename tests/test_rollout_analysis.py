"""Canary analysis: which differences between changed and unchanged agents count as a regression."""

import dataclasses
import random
import unittest
import unittest.mock
from collections import Counter

from seamlb.rollout.analysis import EventCounts, dispersion, find_regression, likelihood_ratio
from seamlb.rollout.samples import Evidence, Sample


class CanaryAnalysisTests(unittest.TestCase):
    def test_equal_revisions_rarely_reach_the_threshold(self) -> None:
        """Tested after every request for 400 requests a side: the probability that it ever reports a regression."""
        false_alarms = 0
        for seed in range(300):
            rng, new, old = random.Random(seed), 0, 0
            for n in range(1, 400):
                new += rng.random() < 0.1
                old += rng.random() < 0.1
                if likelihood_ratio([EventCounts(new, n, old, n)]) >= 20.0:
                    false_alarms += 1
                    break
        self.assertLessEqual(false_alarms / 300, 0.05)

    def test_the_likelihood_ratio_grows_with_the_difference_of_rates(self) -> None:
        self.assertGreater(likelihood_ratio([EventCounts(20, 100, 50, 1000)]), 100.0)
        self.assertLess(likelihood_ratio([EventCounts(5, 100, 50, 1000)]), 2.0)
        self.assertLess(likelihood_ratio([EventCounts(0, 100, 50, 1000)]), 1.0)
        self.assertEqual(likelihood_ratio([]), 1.0)

    def test_overdispersion_among_old_agents_reduces_the_evidence(self) -> None:
        alike = tuple((10.0, 100.0) for _ in range(10))
        unlike = tuple((float(k), 100.0) for k in (1, 25, 2, 30, 0, 22, 1, 8, 9, 2))
        self.assertEqual(dispersion([EventCounts.from_agents((), alike)]), 1.0)
        self.assertGreater(dispersion([EventCounts.from_agents((), unlike)]), 5.0)
        new = ((30.0, 100.0),)
        self.assertGreater(likelihood_ratio([EventCounts.from_agents(new, alike)]), 1000.0)
        self.assertLess(likelihood_ratio([EventCounts.from_agents(new, unlike)]), 30.0)

    def test_load_that_changes_during_a_stage_is_no_regression(self) -> None:
        """Most old requests met the calm first half, most new ones the second; pooled it would look like 5 times."""
        calm, flood = EventCounts(1, 50, 20, 1000), EventCounts(200, 1000, 10, 50)
        self.assertLess(likelihood_ratio([calm, flood]), 2.0)
        self.assertGreater(likelihood_ratio([EventCounts(201, 1050, 30, 1050)]), 1e6)

    def test_a_slower_tail_is_found(self) -> None:
        def collect(share: float) -> Evidence:
            evidence, rng = Evidence(), random.Random(5)
            evidence.set_changed(frozenset({"n"}))
            for name in ("n", "o", "p"):
                times = Counter(
                    200 if name == "n" and rng.random() < share else rng.choice((19, 20, 21, 22)) for _ in range(800)
                )
                empty = Sample(name, name, 0.0, {}, {})
                evidence.add_sample(name, empty, 0, name)
                evidence.add_sample(
                    name,
                    dataclasses.replace(empty, as_of=9.0, counts={("b", "fulfilled"): 800}, answer_ms={"b": times}),
                    0,
                    name,
                )
            return evidence

        self.assertIsNone(find_regression(collect(0.0), 0.005, 0.05))
        found = find_regression(collect(0.05), 0.005, 0.05)
        self.assertIsNotNone(found)
        self.assertIn("b slower than the p9", str(found))

    def test_a_tolerated_difference_is_no_regression(self) -> None:
        evidence = Evidence()
        evidence.set_changed(frozenset({"n"}))
        for name, refused in (("n", 400), ("o", 0)):
            empty = Sample(name, name, 0.0, {}, {})
            evidence.add_sample(name, empty, 0, name)
            counts = {("b", "fulfilled"): 100_000 - refused, ("b", "throttled"): refused}
            evidence.add_sample(name, dataclasses.replace(empty, as_of=9.0, counts=counts), 0, name)
        self.assertIsNone(find_regression(evidence, 0.005, 0.05))
        self.assertIsNotNone(find_regression(evidence, 0.003, 0.05))
