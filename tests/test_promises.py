"""The sums of docs/design/promises.md: each promised time against the stages before it, at their longest."""

import math

import pytest

from seamlb.daemon import FIRST_LIST_WAIT_S
from seamlb.desks.connection_attempt import MIN_PATIENCE, MIN_STATE_WAIT
from seamlb.desks.connection_manager import CALL_SILENCE, RECHECK, RETRY_MIN, SETUP_SILENCE
from seamlb.desks.liveness import ACCEPT_AGE, CUT_AFTER, RELEASE_WITHIN, Liveness
from seamlb.discovery import consul
from seamlb.discovery.consul_config import ConsulConfig
from seamlb.discovery.polls import CONNECT_MARGIN, POLL_WAIT, RETRY_MAX, SILENCE_MARGIN
from seamlb.drain import UPDATE_INTERVAL_S
from seamlb.fronts.releases import PREFERENCE_WAIT, RELEASE_DEADLINE, RESEND_AFTER
from seamlb.lifecycle import Lifecycle
from seamlb.net.tasks import END_WITHIN
from seamlb.sip.endpoint import RESEND_AFTER_S

LOOK = SETUP_SILENCE / 2  # the longest time between two looks at a server's connections
LATE_CONNECTION = 1.0  # connections come up that late (operators' days)
CUT_OFF = 6.0  # a network is cut that long and its calls live (operators' days)
FIRST_TEST = CALL_SILENCE + LOOK  # after the last sign of life
TOLD_AFTER_FAILURE, TOLD, TOLD_AFTER_WAIT = 6.0, 7.0, 2.0
KILL_MARGIN, MAX_KILL_DEADLINE = 0.7, 3.0
READY_WITHIN = 10.0
LAST_BYTES = 0.05  # slept at the end of the process

connect_times = pytest.mark.parametrize("connect_time", [0.05, 0.1, 0.25, 0.5, 1.0, 2.0])


def test_the_calls_of_a_vanished_server_are_released_in_time() -> None:
    liveness = Liveness(0.0)
    liveness.accepted(FIRST_TEST)  # the last thing that its kernel does
    assert liveness.cut_due + RECHECK + PREFERENCE_WAIT < RELEASE_WITHIN
    assert CUT_AFTER > CUT_OFF


# Review case 3: the new process of a host that had vanished was a sign of life of the one before.
@pytest.mark.parametrize("back_after", [2.5, 4.0, 5.0, 6.0, 7.0, 7.1])
def test_the_calls_of_a_server_that_vanished_and_is_back_are_released_in_time(back_after: float) -> None:
    liveness = Liveness(0.0)
    liveness.accepted(FIRST_TEST)  # the last thing that its kernel does
    liveness.attempt_failed(FIRST_TEST + RETRY_MIN, back_after, back_after)
    liveness.accepted(back_after)
    for now in (back_after, back_after + 0.2, back_after + 0.4):
        liveness.sign_of_life(now, opened_at=back_after)
        assert liveness.next_due + RECHECK + PREFERENCE_WAIT < RELEASE_WITHIN
    assert liveness.is_witness(opened_at=FIRST_TEST) and not liveness.is_witness(opened_at=back_after)


def test_a_byte_on_a_connection_from_before_an_outage_keeps_its_calls() -> None:
    liveness = Liveness(0.0)
    liveness.attempt_failed(1.0, 2.5, 2.5)
    assert liveness.sign_of_life(3.0, opened_at=2.9)
    liveness.attempt_failed(4.0, 5.5, 5.5)
    assert liveness.sign_of_life(6.0, opened_at=5.9)
    liveness.sign_of_life(6.1, opened_at=2.9)  # it outlived the second outage only
    assert [outage.noticed_at for outage in liveness.overdue(100.0)] == [1.0]
    assert not liveness.sign_of_life(6.2, opened_at=0.0)
    assert liveness.next_due == 6.2 + CUT_AFTER


def test_an_attempt_that_failed_while_the_server_was_heard_or_accepted_others_is_no_outage() -> None:
    liveness = Liveness(0.0)
    liveness.sign_of_life(2.0, opened_at=0.0)
    liveness.attempt_failed(1.0, 2.5, 2.5)
    liveness.accepted(4.0)
    liveness.attempt_failed(3.0, 4.5, 4.5)
    assert not liveness.sign_of_life(5.0, opened_at=4.0)
    assert liveness.next_due == 5.0 + CUT_AFTER


@connect_times
def test_an_attempt_has_failed_by_the_deadline_of_a_vanished_server(connect_time: float) -> None:
    attempt = max(connect_time, MIN_PATIENCE)
    accepted_and_silent = max(connect_time, MIN_STATE_WAIT)
    assert FIRST_TEST + accepted_and_silent + RETRY_MIN + attempt < CUT_AFTER
    assert attempt > LATE_CONNECTION


@connect_times
def test_a_server_that_hangs_shows_its_kernel_before_its_calls_are_cut(connect_time: float) -> None:
    liveness = Liveness(0.0)
    liveness.accepted(accepted_at := 100.0)
    next_accepted = accepted_at + max(connect_time, MIN_STATE_WAIT) + RETRY_MIN + LATE_CONNECTION
    assert next_accepted < liveness.cut_due
    assert FIRST_TEST > ACCEPT_AGE  # an accepted connection never counts for longer than the last byte before it


# Incident 86c537, kin: time-outs that a busy process handles late must count, those after a pause must not.
@pytest.mark.parametrize(("late", "vanished"), [(0.0, True), (0.5, True), (5.0, False)])
def test_a_busy_process_gives_a_vanished_server_up_and_a_paused_one_does_not(late: float, vanished: bool) -> None:
    liveness = Liveness(0.0)
    liveness.attempt_failed(FIRST_TEST, due := FIRST_TEST + MIN_PATIENCE, due + late)
    assert liveness.has_vanished(max(liveness.cut_due, due + late)) == vanished


def test_a_release_is_passed_on_in_time() -> None:
    assert PREFERENCE_WAIT + RESEND_AFTER < RELEASE_DEADLINE  # its first connection may be quiet
    assert RESEND_AFTER_S < RELEASE_DEADLINE


def test_a_change_in_discovery_is_known_in_time() -> None:
    missed_poll = POLL_WAIT + SILENCE_MARGIN
    assert missed_poll + LATE_CONNECTION < TOLD_AFTER_FAILURE < TOLD
    assert max(SILENCE_MARGIN, CONNECT_MARGIN, RETRY_MAX) < TOLD_AFTER_WAIT


# Review case 10: the time until a silent query of Consul was noticed followed a setting.
@pytest.mark.parametrize("wait", [0.0, 0.01, 0.5, 2.0, 30.0, 600.0, math.inf])
def test_a_change_in_consul_is_known_in_time(wait: float) -> None:
    config = ConsulConfig("127.0.0.1:1", "desk", wait)
    missed_query = config.query_wait * consul.HOLD_FACTOR + SILENCE_MARGIN
    assert missed_query + LATE_CONNECTION < TOLD_AFTER_FAILURE < TOLD
    after_refusal = consul.RETRY_MAX + LATE_CONNECTION
    assert after_refusal + SILENCE_MARGIN + LATE_CONNECTION < TOLD_AFTER_FAILURE  # the first query is silent, too
    assert max(SILENCE_MARGIN, CONNECT_MARGIN, consul.RETRY_MAX) < TOLD_AFTER_WAIT


def test_a_process_is_ready_in_time() -> None:
    assert FIRST_LIST_WAIT_S < READY_WITHIN


@pytest.mark.parametrize("longest", [0.4, 0.8, 1.5, 3.0, 9.0])
def test_all_is_answered_and_the_process_has_ended_before_sigkill(longest: float) -> None:
    process = Lifecycle(longest)
    process.started(0.0)
    process.terminate(0.0)
    ended = process.answer_deadline() + UPDATE_INTERVAL_S + END_WITHIN + LAST_BYTES
    assert ended < min(longest, MAX_KILL_DEADLINE) + KILL_MARGIN
