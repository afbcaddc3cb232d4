"""Leaving and returning to zones as a fleet, on a virtual network."""

import unittest

from seamlb.routing.model import Availability, Desk, Status
from seamlb.zones.fleet import HOLD, MIN_OUT_S, RAMP_S, TRICKLE_S, Vote, Zones, ZoneState
from seamlb.zones.overlay import ZoneFilter
from seamlb.zones.sight import LOOK, WINDOW, Sight
from tests.zoned import BEARS, SimulatedFleet


class Sights(unittest.TestCase):
    def heard(self, *ends: tuple[str, int, bool], desks: int = 4) -> tuple[int, int]:
        sight = Sight()
        for desk, zone, failed in ends:
            sight.ended(1.0, desk, zone, failed)
        return sight.verdict(1.5, dict.fromkeys(range(4), desks))

    def test_a_zone_fails_where_its_desks_do_and_others_are_well(self) -> None:
        bad = [(f"a{n}", 0, True) for n in (1, 1, 2, 2)]
        good = [(f"b{n}", 1, False) for n in (1, 1, 2, 2)]
        self.assertEqual(self.heard(*bad, *good), (0b11, 0b01))
        self.assertEqual(self.heard(*bad), (0b01, 0))  # nothing else is seen: it may be us
        self.assertEqual(self.heard(*bad, *((d, z, True) for d, z, _ in good)), (0b11, 0))  # nor if all fails
        one = [("a1", 0, True)] * 3
        self.assertEqual(self.heard(*one, *good), (0b11, 0))  # one desk is no zone,
        self.assertEqual(self.heard(*one, *good, desks=1), (0b11, 0b01))  # unless it is all there is
        self.assertEqual(self.heard(*bad[1:3], *good), (0b10, 0))  # too few to tell
        well = [("a3", 0, False), ("a4", 0, False)]
        self.assertEqual(self.heard(*bad, *well, *good), (0b11, 0))  # a third of its answers are well

    def test_old_evidence_is_none(self) -> None:
        sight = Sight()
        for desk in ("a", "a", "b", "b"):
            sight.ended(1.0, desk, 0, True)
        self.assertEqual(sight.verdict(1.1 + WINDOW, {0: 2}), (1, 0))  # the latest there are
        self.assertEqual(sight.verdict(1.1 + LOOK, {0: 2}), (0, 0))
        self.assertFalse(sight.ends[0])


class Votes(unittest.TestCase):
    def after(
        self, zones: Zones, own: Vote, others: dict[str, Vote], seconds: float = 1.0, at: float = 0.0
    ) -> ZoneState:
        for step in range(int(seconds * 10) + 1):
            zones.step(at + step / 10, own, others)
        return zones.zones[0].state

    def test_nobody_leaves_on_one_word(self) -> None:
        bad, good, blind = Vote(3, 1), Vote(3, 0), Vote(2, 0)
        self.assertEqual(self.after(Zones(2, 3), bad, {"b": good, "c": good}), ZoneState.IN)
        self.assertEqual(self.after(Zones(2, 3), bad, {}), ZoneState.IN)  # cut off from the others
        self.assertEqual(self.after(Zones(2, 1), bad, {}), ZoneState.OUT)  # there are no others
        self.assertEqual(self.after(Zones(2, 3), bad, {"b": bad, "c": good}), ZoneState.OUT)
        self.assertEqual(self.after(Zones(2, 5), bad, {"b": bad, "c": good, "d": good, "e": good}), ZoneState.IN)
        self.assertEqual(self.after(Zones(2, 5), good, {"b": bad, "c": bad, "d": blind, "e": blind}), ZoneState.OUT)
        self.assertEqual(
            self.after(Zones(2, 3), bad, {"b": bad, "c": bad}, HOLD / 2), ZoneState.IN
        )  # not long enough

    def test_who_sees_half_of_the_others_gone_follows(self) -> None:
        gone, here = Vote(2, 0, 1), Vote(2, 0, 0)
        self.assertEqual(self.after(Zones(2, 5), here, {"b": gone, "c": gone, "d": here, "e": here}), ZoneState.OUT)
        self.assertEqual(self.after(Zones(2, 5), here, {"b": gone, "c": here, "d": here, "e": here}), ZoneState.IN)
        self.assertEqual(self.after(Zones(2, 2), here, {"b": gone}), ZoneState.IN)  # one agent moves nobody

    def test_the_last_zone_stays_and_a_region_goes_whole(self) -> None:
        bad = Vote(7, 7)
        zones = Zones(3, 3)
        self.after(zones, bad, {"b": bad, "c": bad}, 5.0)
        self.assertEqual([one.state for one in zones.zones.values()].count(ZoneState.OUT), 2)
        self.assertEqual([what for what, _ in zones.pending_events].count("zone_last"), 1)
        zones = Zones(4, 3, (frozenset({0, 1, 2}),))
        bad = Vote(15, 3)
        self.after(zones, bad, {"b": bad, "c": bad})
        self.assertEqual([one.state for one in zones.zones.values()], [ZoneState.OUT] * 3 + [ZoneState.IN])

    def test_one_that_flaps_is_stayed_out_of_longer_each_time(self) -> None:
        zones, now, waits = Zones(2, 2), 0.0, []
        bad, good = Vote(3, 1), Vote(3, 0)
        for _ in range(4):
            while zones.zones[0].state is not ZoneState.OUT:  # it fails whenever calls go there
                zones.step(now := now + 0.1, bad, {"b": bad})
            left = now
            while zones.zones[0].state is ZoneState.OUT:
                zones.step(now := now + 0.1, good, {"b": good})
            waits.append(round((now - left) / MIN_OUT_S))
        self.assertEqual(waits, [1, 2, 4, 8])

    def test_an_operators_word_goes_before_all(self) -> None:
        zones, bad = Zones(2, 2), Vote(3, 1)
        zones.force(0, ZoneState.IN)
        self.assertEqual(self.after(zones, bad, {"b": bad}), ZoneState.IN)
        zones.force(0, None)
        self.assertEqual(self.after(zones, bad, {"b": bad}, at=2.0), ZoneState.OUT)
        zones.force(1, ZoneState.OUT)
        self.after(zones, Vote(), {"b": Vote()}, at=4.0)
        self.assertEqual(zones.out, 3)

    def test_votes_there_and_back(self) -> None:
        for vote in (Vote(), Vote(0xFFFF, 0x8001, 0x7FFF)):
            self.assertEqual(Vote.decode(vote.encode()), vote)
        for text in ("", "1.2", "x.y.z", "1.2.3.4"):
            self.assertEqual(Vote.decode(text), Vote())


class Overlays(unittest.TestCase):
    def test_the_module_is_told_of_a_zone_that_is_left_and_returned_to(self) -> None:
        overlay = ZoneFilter(("x", "y"), 1, BEARS, 1.5)
        desks = [
            Desk("a", "", 0, 0, Availability.READY, 0.0),
            Desk("b", "", 1, 1, Availability.READY, 0.0),
            Desk("c", "", 0, 0, Availability.DRAINING, 0.0),
        ]
        self.assertEqual(overlay.filter_desks(0.0, 1e9, desks, True), desks)
        overlay.force("x", "out")
        overlay.step(1.0, {}, 1)
        (told,) = overlay.changed_desks(1.0, 1e9)
        self.assertEqual((told.ident, told.availability), ("a", Availability.DRAINING))
        overlay.force("x", "auto")
        overlay.step(2.0 + MIN_OUT_S, {}, 1)
        overlay.changed_desks(2.0 + MIN_OUT_S, 2e9)
        seen = []
        for step in range(200):
            now = 2.0 + MIN_OUT_S + TRICKLE_S + step / 10
            overlay.step(now, {}, 1)
            seen += overlay.changed_desks(now, 2e9)
        self.assertTrue({one.availability for one in seen} == {Availability.READY, Availability.DRAINING})
        self.assertEqual({one.since_ms for one in seen}, {2e9})  # cold since then, once
        overlay.step(60.0, {}, 1)
        overlay.changed_desks(60.0, 3e9)
        self.assertEqual((overlay.told["a"].availability, overlay.told["a"].since_ms), (Availability.READY, 2e9))
        self.assertEqual(overlay.filter_desks(61.0, 3e9, desks[1:], True), desks[1:])
        self.assertNotIn("a", overlay.told)

    def test_who_is_out_says_nothing_of_how_the_zone_is_now(self) -> None:
        overlay = ZoneFilter(("x", "y"), 1, BEARS, 1.5)
        overlay.filter_desks(
            0.0, 0.0, [Desk(f"d{n}", "", n // 2, 0, Availability.READY, 0.0) for n in range(4)], True
        )
        for number in range(12):
            overlay.attempt_started(1.0, number, f"d{number % 4}")
            if number % 4 < 2:
                overlay.attempt_ended(1.1, number, Status.RESET)
            elif number < 8:
                overlay.attempt_ended(1.1, number, Status.OK)
        self.assertEqual(overlay.vote(1.2), Vote(3, 1, 0))
        for step in range(10):
            overlay.step(1.2 + step / 10, {}, 1)
        overlay.attempt_started(1.0, 20, "d0")
        overlay.attempt_ended(2.5, 20, Status.TIMEOUT)  # sent before
        self.assertEqual(overlay.vote(2.5), Vote(2, 0, 1))

    def test_an_attempt_that_stalls_is_evidence_before_its_end_and_once(self) -> None:
        overlay = ZoneFilter(("x", "y"), 1, BEARS, 1.5)
        overlay.filter_desks(0.0, 0.0, [Desk("a", "", 0, 0, Availability.READY, 0.0)], True)
        overlay.attempt_started(0.0, 7, "a")
        overlay.step(1.6, {}, 1)
        overlay.attempt_ended(6.0, 7, Status.TIMEOUT)
        self.assertEqual([len(one) for one in overlay.sight.ends.values()], [1])


class Fleets(unittest.TestCase):
    def fleet(self, agents: int = 8, **how: object) -> SimulatedFleet:
        fleet = SimulatedFleet(agents, **how)  # type: ignore[arg-type]
        fleet.run(8.0)
        return fleet

    def test_a_zone_that_dies_or_hangs_is_left_by_all_within_seconds_and_returned_to_at_its_pace(self) -> None:
        for how, within in (("dead", 5.0), ("hangs", 6.5)):
            fleet = self.fleet()
            fleet.zone_faults[1] = how
            self.assertLess(fleet.run_until_state(1, ZoneState.OUT, 30.0), within, how)
            self.assertEqual((fleet.states(0), fleet.states(2)), ({ZoneState.IN}, {ZoneState.IN}))
            fleet.zone_faults.clear()
            fleet.run(0.2)
            fleet.peak_zones.add(1)
            self.assertLess(fleet.run_until_state(1, ZoneState.IN, 90.0), MIN_OUT_S + TRICKLE_S + RAMP_S + 10.0)
            self.assertLessEqual(fleet.peak_load, 1.0)
            self.assertGreater(fleet.peak_load, 0.1)

    def test_one_agents_stalled_link_moves_nobody(self) -> None:
        fleet = self.fleet()
        fleet.stalled_links = {("i3", 1)}
        fleet.run(40.0)
        self.assertEqual([fleet.states(zone) for zone in range(3)], [{ZoneState.IN}] * 3)
        fleet.stalled_links = {("i3", zone) for zone in range(3)}
        fleet.run(30.0)
        self.assertEqual([fleet.states(zone) for zone in range(3)], [{ZoneState.IN}] * 3)

    def test_no_false_leaving_at_thirty_per_cent_loss_between_agents(self) -> None:
        fleet = self.fleet(10, loss=0.3)
        fleet.run(60.0)
        self.assertEqual([one for one in fleet.logged if one[2] == "zone_out"], [])
        fleet.zone_faults[2] = "dead"
        self.assertLess(fleet.run_until_state(2, ZoneState.OUT, 30.0), 10.0)

    def test_a_partition_and_deaths_while_leaving_and_while_returning(self) -> None:
        fleet = self.fleet(9)
        left = {f"i{n}" for n in range(4)}
        fleet.net.partition(left, set(fleet.names) - left)
        fleet.zone_faults[0] = "dead"
        fleet.run(0.5)
        fleet.net.kill("i8")
        self.assertLess(fleet.run_until_state(0, ZoneState.OUT, 30.0), 12.0)  # each side has votes enough of its own
        fleet.net.partition()
        fleet.zone_faults.clear()
        fleet.peak_zones.add(0)
        while ZoneState.RETURN not in fleet.states(0):
            fleet.run(0.5)
        for name in ("i1", "i2"):
            fleet.net.kill(name)
        self.assertLess(fleet.run_until_state(0, ZoneState.IN, 120.0), 90.0)
        self.assertLessEqual(fleet.peak_load, 1.0)

    def test_a_zone_that_fails_again_on_the_way_back_is_left_again(self) -> None:
        fleet = self.fleet()
        fleet.zone_faults[1] = "dead"
        fleet.run_until_state(1, ZoneState.OUT, 30.0)
        fleet.run(MIN_OUT_S + TRICKLE_S + 6.0)
        fleet.run(20.0)
        outs = [one for one in fleet.logged if one[2] == "zone_out" and one[3] == 1]
        self.assertGreater(len(outs), len(fleet.names))  # left anew
        self.assertEqual(fleet.states(1), {ZoneState.OUT})
        self.assertEqual(fleet.states(0) | fleet.states(2), {ZoneState.IN})

    def test_a_whole_region(self) -> None:
        fleet = self.fleet(8, zones=4, regions=(frozenset({0, 1, 2}),))
        fleet.zone_faults = {0: "dead", 1: "hangs"}
        for zone in range(3):
            self.assertLess(fleet.run_until_state(zone, ZoneState.OUT, 30.0), 10.0)
        self.assertEqual(fleet.states(3), {ZoneState.IN})
