"""The life of the process: what follows from each phase, on a clock of the test's own."""

import math

from seamlb.lifecycle import CALM, KEEP_TAKING, REFUSE, SETTLE, UPGRADE_MOST, Lifecycle, Phase


def serving(longest: float = 9.0, shared: bool = False) -> Lifecycle:
    life = Lifecycle(longest, shared)
    assert not life.ready
    life.started(1.0)
    return life


def test_a_quiesce_is_followed_in_steps_and_a_resume_ends_it_at_once() -> None:
    life = serving()
    assert life.ready and life.accepts_connections(1.0) and life.quiet_limit(50.0) == math.inf
    assert life.quiesce(10.0) and not life.ready
    assert life.accepts_connections(14.0), "what the front sends late must not be refused"
    assert life.quiet_limit(10.0 + SETTLE / 2) == math.inf, "new connections still come"
    assert life.quiet_limit(10.0 + SETTLE) == CALM
    assert life.accepts_requests(11.0) and not life.accepts_requests(10.0 + REFUSE)
    assert life.quiesce(13.0) and not life.accepts_requests(13.0), "asked again it does not begin anew"
    assert life.resume(15.0) and life.ready and life.accepts_requests(15.0) and life.quiet_limit(16.0) == math.inf
    assert life.resume(16.0) and life.phase is Phase.READY


def test_what_has_not_begun_or_ends_is_neither_emptied_nor_brought_back() -> None:
    life = Lifecycle(9.0)
    assert not life.quiesce(0.0) and not life.resume(0.0) and life.phase is Phase.STARTING
    life.started(1.0)
    assert life.quiesce(2.0)
    life.terminate(3.0)
    assert not life.resume(3.1) and not life.quiesce(3.2) and not life.ready
    life.started(3.3)
    life.terminate(4.0)
    assert life.since == 3.0, "a second SIGTERM gives no more time"
    life.ended(5.0)
    life.terminate(6.0)
    assert life.phase is Phase.ENDED and life.may_exit(6.0, 1, 1)


def test_a_drain_alone_keeps_its_callers_and_ends_when_all_are_answered() -> None:
    life = serving()
    life.terminate(10.0)
    assert life.accepts_connections(10.0 + KEEP_TAKING / 2) and not life.accepts_connections(10.0 + KEEP_TAKING)
    assert life.quiet_limit(10.0 + KEEP_TAKING / 2) == math.inf and life.accepts_requests(12.0)
    assert life.quiet_limit(10.0 + KEEP_TAKING) == 0.0, "each goes at its first moment without an open set-up"
    assert not life.may_exit(10.1, 0, 0), "callers may still come"
    assert not life.may_exit(10.0 + KEEP_TAKING, 0, 3), "a set-up may be half read on one of them"
    assert life.may_exit(10.0 + KEEP_TAKING, 0, 0) and not life.may_exit(12.0, 1, 3)
    assert life.answers_by() < 10.0 + KEEP_TAKING + 3.0 and life.may_exit(life.answers_by(), 1, 1)


def test_beside_another_process_the_socket_is_left_to_it_and_callers_are_sent_there() -> None:
    life = Lifecycle(60.0, shared=True)
    assert not life.accepts_connections(0.0), "until it is ready the other one takes the calls"
    life.started(1.0)
    assert life.accepts_connections(1.0)
    life.terminate(10.0)
    assert not life.accepts_connections(10.0)
    assert life.quiet_limit(10.0 + SETTLE) == CALM and not life.keeps_established_calls
    assert not life.may_exit(11.0, 0, 1) and life.may_exit(11.0, 0, 0)
    assert life.answers_by() < 10.0 + KEEP_TAKING + UPGRADE_MOST


def test_a_quiesced_process_keeps_the_way_of_releases() -> None:
    life = serving()
    life.quiesce(2.0)
    assert life.keeps_established_calls
