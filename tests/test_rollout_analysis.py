"""What the figures of changed and unchanged agents say."""

import dataclasses
import random
import unittest
import unittest.mock
from collections import Counter

from seamlb.rollout.figures import Evidence, Sample
from seamlb.rollout.judge import Count, dispersion, evidence, worse


class Judging(unittest.TestCase):
    def test_equal_revisions_are_told_apart_as_seldom_as_said(self) -> None:
        """Looked at after every request for 400 requests a side: the chance that it ever says worse."""
        wrong = 0
        for seed in range(300):
            rng, new, old = random.Random(seed), 0, 0
            for n in range(1, 400):
                new += rng.random() < 0.1
                old += rng.random() < 0.1
                if evidence([Count(new, n, old, n)]) >= 20.0:
                    wrong += 1
                    break
        self.assertLessEqual(wrong / 300, 0.05)

    def test_it_tells_what_is_worse(self) -> None:
        self.assertGreater(evidence([Count(20, 100, 50, 1000)]), 100.0)
        self.assertLess(evidence([Count(5, 100, 50, 1000)]), 2.0)
        self.assertLess(evidence([Count(0, 100, 50, 1000)]), 1.0)
        self.assertEqual(evidence([]), 1.0)

    def test_agents_that_differ_anyhow_make_it_careful(self) -> None:
        alike = tuple((10.0, 100.0) for _ in range(10))
        unlike = tuple((float(k), 100.0) for k in (1, 25, 2, 30, 0, 22, 1, 8, 9, 2))
        self.assertEqual(dispersion([Count.of((), alike)]), 1.0)
        self.assertGreater(dispersion([Count.of((), unlike)]), 5.0)
        new = ((30.0, 100.0),)
        self.assertGreater(evidence([Count.of(new, alike)]), 1000.0)
        self.assertLess(evidence([Count.of(new, unlike)]), 30.0)

    def test_load_that_changes_in_the_course_of_a_stage_is_no_difference(self) -> None:
        """Most old requests met the calm first half, most new ones the second: pooled it would look like 5 times."""
        calm, flood = Count(1, 50, 20, 1000), Count(200, 1000, 10, 50)
        self.assertLess(evidence([calm, flood]), 2.0)
        self.assertGreater(evidence([Count(201, 1050, 30, 1050)]), 1e6)

    def test_slower_at_the_tail_only(self) -> None:
        def heard(share: float) -> Evidence:
            found, rng = Evidence(), random.Random(5)
            found.move(frozenset({"n"}))
            for name in ("n", "o", "p"):
                times = Counter(
                    200 if name == "n" and rng.random() < share else rng.choice((19, 20, 21, 22)) for _ in range(800)
                )
                empty = Sample(name, name, 0.0, {}, {})
                found.hear(name, empty, 0, name)
                found.hear(
                    name,
                    dataclasses.replace(empty, at=9.0, counts={("b", "fulfilled"): 800}, answer_ms={"b": times}),
                    0,
                    name,
                )
            return found

        self.assertIsNone(worse(heard(0.0), 0.005, 0.05))
        found = worse(heard(0.05), 0.005, 0.05)
        self.assertIsNotNone(found)
        self.assertIn("b slower than the p9", str(found))

    def test_a_share_that_is_borne_does_not_stop(self) -> None:
        found = Evidence()
        found.move(frozenset({"n"}))
        for name, refused in (("n", 400), ("o", 0)):
            empty = Sample(name, name, 0.0, {}, {})
            found.hear(name, empty, 0, name)
            counts = {("b", "fulfilled"): 100_000 - refused, ("b", "throttled"): refused}
            found.hear(name, dataclasses.replace(empty, at=9.0, counts=counts), 0, name)
        self.assertIsNone(worse(found, 0.005, 0.05))
        self.assertIsNotNone(worse(found, 0.003, 0.05))
