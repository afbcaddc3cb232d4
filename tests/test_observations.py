"""What a node has observed of servers: the list, reports and the lines of all."""

import math

from seamlb import api
from seamlb.observations import Fleet
from tests.support import entry

COLD = 1000.0


def fleet(*servers: int) -> Fleet:
    found = Fleet(5)
    found.update(0.0, api.ListChange(api.Scope.CACHED, tuple(entry(one) for one in servers)), COLD)
    return found


def test_servers_of_the_first_list_are_warm_and_later_ones_cold() -> None:
    found = fleet(1, 2)
    assert {one.cold_from for one in found.servers.values()} == {-math.inf}
    (started,) = found.update(50.0, api.ListChange(api.Scope.DELTA, (entry(3),)), COLD)
    assert started is found.servers[3] and started.cold_from == 50.0
    assert found.servers[3].verdicts.maxlen == 5


def test_a_server_that_started_anew_keeps_its_lines_and_nothing_else() -> None:
    found = fleet(1)
    found.report(10.0, 1, {"idle": 3.0, "circuits": 40.0, "avg_ms": 7.0}, COLD)
    assert found.update(20.0, api.ListChange(api.Scope.DELTA, (entry(1),)), COLD) == []
    (started,) = found.update(30.0, api.ListChange(api.Scope.DELTA, (entry(1, since=25.0),)), COLD)
    assert (started.idle, started.circuits, started.cold_from) == (3.0, 40.0, 25.0)
    assert started.reported_at == -math.inf and started.wait.get(30.0) == 0.0


def test_a_whole_list_takes_off_whom_it_does_not_name_and_a_part_only_whom_it_says_is_gone() -> None:
    found = fleet(1, 2, 3)
    found.update(1.0, api.ListChange(api.Scope.DELTA, (entry(2, state=api.Availability.GONE),)), COLD)
    assert sorted(found.servers) == [1, 3]
    found.update(2.0, api.ListChange(api.Scope.FULL, (entry(3),)), COLD)
    assert sorted(found.servers) == [3]


def test_reports_of_unknown_servers_and_impossible_delays_are_passed_over() -> None:
    found = fleet(1)
    found.report(1.0, 9, {"idle": 3.0}, COLD)
    found.report(1.0, 1, {"avg_ms": math.inf}, COLD)
    found.report(1.0, 1, {"avg_ms": -1.0}, COLD)
    assert sorted(found.servers) == [1] and found.servers[1].wait.get(1.0) == 0.0
    assert found.lines == 1.0


def test_faults_are_a_share_of_the_latest_answers() -> None:
    server = fleet(1).servers[1]
    for _ in range(200):
        server.answered(True)
    assert server.faults > 0.99
    for _ in range(200):
        server.answered(False)
    assert server.faults < 0.01
