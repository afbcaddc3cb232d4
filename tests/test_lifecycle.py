"""The lifecycle of the process: the behaviour in each phase, on a virtual clock."""

import math

from seamlb.lifecycle import (
    LISTEN_S,
    MAX_UPGRADE_PATIENCE_S,
    QUIET_S,
    REFUSE_AFTER_S,
    SETTLE_S,
    Lifecycle,
    Phase,
)


def serving(max_patience: float = 9.0, shared: bool = False) -> Lifecycle:
    process = Lifecycle(max_patience, shared)
    assert not process.ready
    process.started(1.0)
    return process


def test_quiesce_proceeds_in_steps_and_resume_ends_it_at_once() -> None:
    process = serving()
    assert process.ready and process.accepts_connections(1.0) and process.quiet_limit(50.0) == math.inf
    assert process.quiesce(10.0) and not process.ready
    assert process.accepts_connections(14.0), "connections that the front opens late must not be refused"
    assert process.quiet_limit(10.0 + SETTLE_S / 2) == math.inf, "the front may still open connections"
    assert process.quiet_limit(10.0 + SETTLE_S) == QUIET_S
    assert process.accepts_requests(11.0) and not process.accepts_requests(10.0 + REFUSE_AFTER_S)
    assert process.quiesce(13.0) and not process.accepts_requests(13.0), "a repeated quiesce does not start over"
    assert (
        process.resume(15.0)
        and process.ready
        and process.accepts_requests(15.0)
        and process.quiet_limit(16.0) == math.inf
    )
    assert process.resume(16.0) and process.phase is Phase.READY


def test_a_starting_or_ending_process_can_be_neither_quiesced_nor_resumed() -> None:
    process = Lifecycle(9.0)
    assert not process.quiesce(0.0) and not process.resume(0.0) and process.phase is Phase.STARTING
    process.started(1.0)
    assert process.quiesce(2.0)
    process.terminate(3.0)
    assert not process.resume(3.1) and not process.quiesce(3.2) and not process.ready
    process.started(3.3)
    process.terminate(4.0)
    assert process.entered_at == 3.0, "a second SIGTERM does not extend the drain"
    process.ended(5.0)
    process.terminate(6.0)
    assert process.phase is Phase.ENDED and process.may_exit(6.0, 1, 1)


def test_a_drain_without_a_successor_ends_when_all_callers_are_answered() -> None:
    process = serving()
    process.terminate(10.0)
    assert process.accepts_connections(10.0 + LISTEN_S / 2) and not process.accepts_connections(10.0 + LISTEN_S)
    assert process.quiet_limit(10.0 + LISTEN_S / 2) == math.inf and process.accepts_requests(12.0)
    assert process.quiet_limit(10.0 + LISTEN_S) == 0.0, "each closes as soon as it has no open set-up"
    assert not process.may_exit(10.1, 0, 0), "callers may still connect"
    assert not process.may_exit(10.0 + LISTEN_S, 0, 3), "a set-up may be partly read on one of them"
    assert process.may_exit(10.0 + LISTEN_S, 0, 0) and not process.may_exit(12.0, 1, 3)
    assert process.answer_deadline() < 10.0 + LISTEN_S + 3.0 and process.may_exit(process.answer_deadline(), 1, 1)


def test_a_process_with_a_successor_leaves_the_shared_socket_and_its_callers_to_it() -> None:
    process = Lifecycle(60.0, shared=True)
    assert not process.accepts_connections(0.0), "until it is ready the other process accepts the connections"
    process.started(1.0)
    assert process.accepts_connections(1.0)
    process.terminate(10.0)
    assert not process.accepts_connections(10.0)
    assert process.quiet_limit(10.0 + SETTLE_S) == QUIET_S and not process.keeps_established_calls
    assert not process.may_exit(11.0, 0, 1) and process.may_exit(11.0, 0, 0)
    assert process.answer_deadline() < 10.0 + LISTEN_S + MAX_UPGRADE_PATIENCE_S


def test_a_quiesced_process_keeps_connections_for_releases() -> None:
    process = serving()
    process.quiesce(2.0)
    assert process.keeps_established_calls


# Incident 86c537, kin: new settings in the drain moved its end, beyond the SIGKILL or before callers' deadlines.
def test_new_settings_in_the_drain_do_not_move_its_end() -> None:
    for later in (0.4, 9.0):
        process = serving(max_patience=1.5)
        process.terminate(10.0)
        end = process.answer_deadline()
        process.max_patience = later
        assert process.answer_deadline() == end
