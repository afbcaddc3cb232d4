"""Zone failover of a fleet: observations, votes, the filter of desks, and whole fleets on a virtual network."""

import unittest

from seamlb.routing.model import Availability, Desk, Status
from seamlb.zones.failover import MIN_OUT_S, RAMP_S, TRICKLE_S, VOTE_HOLD_S, Vote, ZoneFailover, ZoneState
from seamlb.zones.observations import MAX_AGE_S, RECENT_S, ZoneObservations
from seamlb.zones.zone_filter import ZoneFilter
from tests.zone_simulation import DESK_CAPACITY, SimulatedFleet


class Observations(unittest.TestCase):
    def evaluate(self, *outcomes: tuple[str, int, bool], desks: int = 4) -> tuple[int, int]:
        observations = ZoneObservations()
        for desk, zone, failed in outcomes:
            observations.record(1.0, desk, zone, failed)
        return observations.evaluate(1.5, dict.fromkeys(range(4), desks))

    def test_zone_fails_if_its_desks_fail_and_other_zones_are_healthy(self) -> None:
        bad = [(f"a{n}", 0, True) for n in (1, 1, 2, 2)]
        healthy = [(f"b{n}", 1, False) for n in (1, 1, 2, 2)]
        self.assertEqual(self.evaluate(*bad, *healthy), (0b11, 0b01))
        self.assertEqual(self.evaluate(*bad), (0b01, 0))  # no other zone is observed: no zone fails
        self.assertEqual(self.evaluate(*bad, *((d, z, True) for d, z, _ in healthy)), (0b11, 0))  # nor if all fail
        single = [("a1", 0, True)] * 3
        self.assertEqual(self.evaluate(*single, *healthy), (0b11, 0))  # one failing desk of several
        self.assertEqual(self.evaluate(*single, *healthy, desks=1), (0b11, 0b01))  # the only desk of the zone
        self.assertEqual(self.evaluate(*bad[1:3], *healthy), (0b10, 0))  # too few outcomes
        successes = [("a3", 0, False), ("a4", 0, False)]
        self.assertEqual(self.evaluate(*bad, *successes, *healthy), (0b11, 0))  # a third of its outcomes succeed

    def test_old_outcomes_are_ignored(self) -> None:
        observations = ZoneObservations()
        for desk in ("a", "a", "b", "b"):
            observations.record(1.0, desk, 0, True)
        self.assertEqual(observations.evaluate(1.1 + RECENT_S, {0: 2}), (1, 0))  # the latest MIN_OUTCOMES
        self.assertEqual(observations.evaluate(1.1 + MAX_AGE_S, {0: 2}), (0, 0))
        self.assertFalse(observations.outcomes[0])


class Votes(unittest.TestCase):
    def state_after(
        self, zones: ZoneFailover, own: Vote, others: dict[str, Vote], seconds: float = 1.0, at: float = 0.0
    ) -> ZoneState:
        for step in range(int(seconds * 10) + 1):
            zones.step(at + step / 10, own, others)
        return zones.zones[0].state

    def test_one_vote_is_not_enough_to_leave(self) -> None:
        bad, ok, idle = Vote(3, 1), Vote(3, 0), Vote(2, 0)
        self.assertEqual(self.state_after(ZoneFailover(2, 3), bad, {"b": ok, "c": ok}), ZoneState.IN)
        self.assertEqual(self.state_after(ZoneFailover(2, 3), bad, {}), ZoneState.IN)  # isolated
        self.assertEqual(self.state_after(ZoneFailover(2, 1), bad, {}), ZoneState.OUT)  # the only agent
        self.assertEqual(self.state_after(ZoneFailover(2, 3), bad, {"b": bad, "c": ok}), ZoneState.OUT)
        self.assertEqual(
            self.state_after(ZoneFailover(2, 5), bad, {"b": bad, "c": ok, "d": ok, "e": ok}), ZoneState.IN
        )
        self.assertEqual(
            self.state_after(ZoneFailover(2, 5), ok, {"b": bad, "c": bad, "d": idle, "e": idle}), ZoneState.OUT
        )
        # The quorum has not lasted for VOTE_HOLD_S.
        self.assertEqual(
            self.state_after(ZoneFailover(2, 3), bad, {"b": bad, "c": bad}, VOTE_HOLD_S / 2), ZoneState.IN
        )

    def test_agent_leaves_after_half_of_the_others(self) -> None:
        out, here = Vote(2, 0, 1), Vote(2, 0, 0)
        self.assertEqual(
            self.state_after(ZoneFailover(2, 5), here, {"b": out, "c": out, "d": here, "e": here}), ZoneState.OUT
        )
        self.assertEqual(
            self.state_after(ZoneFailover(2, 5), here, {"b": out, "c": here, "d": here, "e": here}), ZoneState.IN
        )
        self.assertEqual(self.state_after(ZoneFailover(2, 2), here, {"b": out}), ZoneState.IN)  # one other is too few

    def test_last_zone_stays_in_service_and_a_region_is_left_as_a_whole(self) -> None:
        bad = Vote(7, 7)
        zones = ZoneFailover(3, 3)
        self.state_after(zones, bad, {"b": bad, "c": bad}, 5.0)
        self.assertEqual([one.state for one in zones.zones.values()].count(ZoneState.OUT), 2)
        self.assertEqual([event for event, _ in zones.pending_events].count("zone_last"), 1)
        zones = ZoneFailover(4, 3, (frozenset({0, 1, 2}),))
        bad = Vote(15, 3)
        self.state_after(zones, bad, {"b": bad, "c": bad})
        self.assertEqual([one.state for one in zones.zones.values()], [ZoneState.OUT] * 3 + [ZoneState.IN])

    def test_time_out_doubles_each_time_a_zone_fails_during_the_return(self) -> None:
        zones, now, waits = ZoneFailover(2, 2), 0.0, []
        bad, healthy = Vote(3, 1), Vote(3, 0)
        for _ in range(4):
            while zones.zones[0].state is not ZoneState.OUT:  # fails whenever it gets calls
                zones.step(now := now + 0.1, bad, {"b": bad})
            left = now
            while zones.zones[0].state is ZoneState.OUT:
                zones.step(now := now + 0.1, healthy, {"b": healthy})
            waits.append(round((now - left) / MIN_OUT_S))
        self.assertEqual(waits, [1, 2, 4, 8])

    def test_forced_state_overrides_votes(self) -> None:
        zones, bad = ZoneFailover(2, 2), Vote(3, 1)
        zones.force(0, ZoneState.IN)
        self.assertEqual(self.state_after(zones, bad, {"b": bad}), ZoneState.IN)
        zones.force(0, None)
        self.assertEqual(self.state_after(zones, bad, {"b": bad}, at=2.0), ZoneState.OUT)
        zones.force(1, ZoneState.OUT)
        self.state_after(zones, Vote(), {"b": Vote()}, at=4.0)
        self.assertEqual(zones.out, 3)

    def test_vote_encoding_round_trip_and_invalid_texts(self) -> None:
        for vote in (Vote(), Vote(0xFFFF, 0x8001, 0x7FFF)):
            self.assertEqual(Vote.decode(vote.encode()), vote)
        for text in ("", "1.2", "x.y.z", "1.2.3.4"):
            self.assertEqual(Vote.decode(text), Vote())


class ZoneFilters(unittest.TestCase):
    def test_desks_drain_while_their_zone_is_out_and_start_cold_at_the_return(self) -> None:
        zone_filter = ZoneFilter(("x", "y"), 1, DESK_CAPACITY, 1.5)
        desks = [
            Desk("a", "", 0, 0, Availability.READY, 0.0),
            Desk("b", "", 1, 1, Availability.READY, 0.0),
            Desk("c", "", 0, 0, Availability.DRAINING, 0.0),
        ]
        self.assertEqual(zone_filter.filter_desks(0.0, 1e9, desks, True), desks)
        zone_filter.force("x", "out")
        zone_filter.step(1.0, {}, 1)
        (changed,) = zone_filter.changed_desks(1.0, 1e9)
        self.assertEqual((changed.ident, changed.availability), ("a", Availability.DRAINING))
        zone_filter.force("x", "auto")
        zone_filter.step(2.0 + MIN_OUT_S, {}, 1)
        zone_filter.changed_desks(2.0 + MIN_OUT_S, 2e9)
        seen = []
        for step in range(200):
            now = 2.0 + MIN_OUT_S + TRICKLE_S + step / 10
            zone_filter.step(now, {}, 1)
            seen += zone_filter.changed_desks(now, 2e9)
        self.assertTrue({one.availability for one in seen} == {Availability.READY, Availability.DRAINING})
        self.assertEqual({one.since_ms for one in seen}, {2e9})  # one cold start, at the return
        zone_filter.step(60.0, {}, 1)
        zone_filter.changed_desks(60.0, 3e9)
        self.assertEqual(
            (zone_filter.reported["a"].availability, zone_filter.reported["a"].since_ms), (Availability.READY, 2e9)
        )
        self.assertEqual(zone_filter.filter_desks(61.0, 3e9, desks[1:], True), desks[1:])
        self.assertNotIn("a", zone_filter.reported)

    def test_vote_omits_observations_of_a_zone_that_is_out(self) -> None:
        zone_filter = ZoneFilter(("x", "y"), 1, DESK_CAPACITY, 1.5)
        zone_filter.filter_desks(
            0.0, 0.0, [Desk(f"d{n}", "", n // 2, 0, Availability.READY, 0.0) for n in range(4)], True
        )
        for number in range(12):
            zone_filter.attempt_started(1.0, number, f"d{number % 4}")
            if number % 4 < 2:
                zone_filter.attempt_ended(1.1, number, Status.RESET)
            elif number < 8:
                zone_filter.attempt_ended(1.1, number, Status.OK)
        self.assertEqual(zone_filter.vote(1.2), Vote(3, 1, 0))
        for step in range(10):
            zone_filter.step(1.2 + step / 10, {}, 1)
        zone_filter.attempt_started(1.0, 20, "d0")
        zone_filter.attempt_ended(2.5, 20, Status.TIMEOUT)  # sent before the zone was left
        self.assertEqual(zone_filter.vote(2.5), Vote(2, 0, 1))

    def test_stalled_attempt_counts_once_and_before_its_end(self) -> None:
        zone_filter = ZoneFilter(("x", "y"), 1, DESK_CAPACITY, 1.5)
        zone_filter.filter_desks(0.0, 0.0, [Desk("a", "", 0, 0, Availability.READY, 0.0)], True)
        zone_filter.attempt_started(0.0, 7, "a")
        zone_filter.step(1.6, {}, 1)
        zone_filter.attempt_ended(6.0, 7, Status.TIMEOUT)
        self.assertEqual([len(one) for one in zone_filter.observations.outcomes.values()], [1])


class Fleets(unittest.TestCase):
    def fleet(self, agents: int = 8, **options: object) -> SimulatedFleet:
        fleet = SimulatedFleet(agents, **options)  # type: ignore[arg-type]
        fleet.run(8.0)
        return fleet

    def test_all_agents_leave_a_dead_or_hanging_zone_and_return_within_its_capacity(self) -> None:
        for fault, limit in (("dead", 5.0), ("hangs", 6.5)):
            fleet = self.fleet()
            fleet.zone_faults[1] = fault
            self.assertLess(fleet.run_until_state(1, ZoneState.OUT, 30.0), limit, fault)
            self.assertEqual((fleet.states(0), fleet.states(2)), ({ZoneState.IN}, {ZoneState.IN}))
            fleet.zone_faults.clear()
            fleet.run(0.2)
            fleet.peak_zones.add(1)
            self.assertLess(fleet.run_until_state(1, ZoneState.IN, 90.0), MIN_OUT_S + TRICKLE_S + RAMP_S + 10.0)
            self.assertLessEqual(fleet.peak_load, 1.0)
            self.assertGreater(fleet.peak_load, 0.1)

    def test_no_zone_is_left_for_one_agents_stalled_link(self) -> None:
        fleet = self.fleet()
        fleet.stalled_links = {("i3", 1)}
        fleet.run(40.0)
        self.assertEqual([fleet.states(zone) for zone in range(3)], [{ZoneState.IN}] * 3)
        fleet.stalled_links = {("i3", zone) for zone in range(3)}
        fleet.run(30.0)
        self.assertEqual([fleet.states(zone) for zone in range(3)], [{ZoneState.IN}] * 3)

    def test_healthy_zone_is_not_left_at_thirty_per_cent_loss_between_agents(self) -> None:
        fleet = self.fleet(10, loss=0.3)
        fleet.run(60.0)
        self.assertEqual([one for one in fleet.logged if one[2] == "zone_out"], [])
        fleet.zone_faults[2] = "dead"
        self.assertLess(fleet.run_until_state(2, ZoneState.OUT, 30.0), 10.0)

    def test_partition_and_agent_deaths_while_leaving_and_returning(self) -> None:
        fleet = self.fleet(9)
        left = {f"i{n}" for n in range(4)}
        fleet.net.partition(left, set(fleet.names) - left)
        fleet.zone_faults[0] = "dead"
        fleet.run(0.5)
        fleet.net.kill("i8")
        self.assertLess(fleet.run_until_state(0, ZoneState.OUT, 30.0), 12.0)  # each side has a quorum
        fleet.net.partition()
        fleet.zone_faults.clear()
        fleet.peak_zones.add(0)
        while ZoneState.RETURN not in fleet.states(0):
            fleet.run(0.5)
        for name in ("i1", "i2"):
            fleet.net.kill(name)
        self.assertLess(fleet.run_until_state(0, ZoneState.IN, 120.0), 90.0)
        self.assertLessEqual(fleet.peak_load, 1.0)

    def test_zone_that_fails_during_the_return_is_left_again(self) -> None:
        fleet = self.fleet()
        fleet.zone_faults[1] = "dead"
        fleet.run_until_state(1, ZoneState.OUT, 30.0)
        fleet.run(MIN_OUT_S + TRICKLE_S + 6.0)
        fleet.run(20.0)
        outs = [one for one in fleet.logged if one[2] == "zone_out" and one[3] == 1]
        self.assertGreater(len(outs), len(fleet.names))  # some agents left twice
        self.assertEqual(fleet.states(1), {ZoneState.OUT})
        self.assertEqual(fleet.states(0) | fleet.states(2), {ZoneState.IN})

    def test_whole_region_is_left(self) -> None:
        fleet = self.fleet(8, zones=4, regions=(frozenset({0, 1, 2}),))
        fleet.zone_faults = {0: "dead", 1: "hangs"}
        for zone in range(3):
            self.assertLess(fleet.run_until_state(zone, ZoneState.OUT, 30.0), 10.0)
        self.assertEqual(fleet.states(3), {ZoneState.IN})
