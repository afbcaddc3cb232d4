"""A node's observations of servers: the list, load reports and the sum of lines."""

import math

from seamlb import api
from seamlb.observations import Fleet
from tests.support import entry

COLD_MS = 1000.0


def fleet_of(*servers: int) -> Fleet:
    fleet = Fleet(5)
    fleet.update(0.0, api.ListChange(api.Scope.CACHED, tuple(entry(server) for server in servers)), COLD_MS)
    return fleet


def test_servers_of_the_first_list_are_warm_and_later_ones_cold() -> None:
    fleet = fleet_of(1, 2)
    assert {server.cold_from for server in fleet.servers.values()} == {-math.inf}
    (started,) = fleet.update(50.0, api.ListChange(api.Scope.DELTA, (entry(3),)), COLD_MS)
    assert started is fleet.servers[3] and started.cold_from == 50.0
    assert fleet.servers[3].recent_levels.maxlen == 5


def test_a_restarted_server_keeps_only_its_lines() -> None:
    fleet = fleet_of(1)
    fleet.record_report(10.0, 1, {"idle": 3.0, "circuits": 40.0, "avg_ms": 7.0}, COLD_MS)
    assert fleet.update(20.0, api.ListChange(api.Scope.DELTA, (entry(1),)), COLD_MS) == []
    (started,) = fleet.update(30.0, api.ListChange(api.Scope.DELTA, (entry(1, since=25.0),)), COLD_MS)
    assert (started.free_lines, started.circuits, started.cold_from) == (3.0, 40.0, 25.0)
    assert started.reported_at == -math.inf and started.queue_delay.get(30.0) == 0.0


def test_a_full_list_removes_servers_that_it_omits_and_a_delta_only_those_it_marks_as_gone() -> None:
    fleet = fleet_of(1, 2, 3)
    fleet.update(1.0, api.ListChange(api.Scope.DELTA, (entry(2, state=api.Availability.GONE),)), COLD_MS)
    assert sorted(fleet.servers) == [1, 3]
    fleet.update(2.0, api.ListChange(api.Scope.FULL, (entry(3),)), COLD_MS)
    assert sorted(fleet.servers) == [3]


def test_reports_of_unknown_servers_and_invalid_delays_are_ignored() -> None:
    fleet = fleet_of(1)
    fleet.record_report(1.0, 9, {"idle": 3.0}, COLD_MS)
    fleet.record_report(1.0, 1, {"avg_ms": math.inf}, COLD_MS)
    fleet.record_report(1.0, 1, {"avg_ms": -1.0}, COLD_MS)
    assert sorted(fleet.servers) == [1] and fleet.servers[1].queue_delay.get(1.0) == 0.0
    assert fleet.lines == 1.0


def test_the_error_share_follows_the_latest_answers() -> None:
    server = fleet_of(1).servers[1]
    for _ in range(200):
        server.record_result(True)
    assert server.error_share > 0.99
    for _ in range(200):
        server.record_result(False)
    assert server.error_share < 0.01
