"""When notes are acted on, where answers go, and proposals that are repeated."""

import math
import os
from pathlib import Path
from unittest import mock

from seamlb.agree.holder import LeaseState
from seamlb.agree.link import AgreementService
from seamlb.agree.notes import Kind, Message
from seamlb.agree.table import AgreeSettings
from tests.agents import KEYS, grant_lease, make_enforcer


def test_only_the_agent_looks_so_that_no_change_is_kept_from_its_module(tmp_path: Path) -> None:
    """What logs and shows the stance has the agent look: else the change would be told to nobody else."""
    first, asked = make_enforcer([1.0]).holder.newest, []
    link = AgreementService(
        AgreeSettings("", tmp_path, first, KEYS, 1, {"a0": ""}, 1.0), "a1", (), lambda: asked.append(1)
    )
    link.log_changes()
    link.status()
    assert len(asked) == 2
    assert link.enforcer.refresh()


def agreeing(folder: Path) -> AgreementService:
    """An agent that has a lease on its first charter and no sockets."""
    first = make_enforcer([1.0]).holder.newest
    link = AgreementService(
        AgreeSettings("", folder, first, KEYS, 1, {"a0": ""}, 1.0), "a1", (), lambda: link.enforcer.refresh()
    )
    link.participant.lock_fd = os.open(folder, os.O_RDONLY)
    grant_lease(link.enforcer, math.inf)
    link.log_changes()
    return link


def test_a_note_that_changes_what_is_in_force_is_acted_on_before_it_is_answered(tmp_path: Path) -> None:
    """Acted on at the next step only, the old charter was logged as in force while others acted on the new one."""
    link = agreeing(tmp_path)
    first = link.participant.holder.newest
    second = first.successor({"open": 20})
    link._send([("a1", Message(Kind.CHOSEN, "a0", body=second.body, previous=first.body))], [])
    assert [(lease_state, version.number) for lease_state, version, _ in link.enforcer.state_changes] == [
        (LeaseState.TRANSITION, 2)
    ]
    link.close()


def test_members_answer_on_the_connection_that_asked_and_await_answers_to_requests_only(tmp_path: Path) -> None:
    """Each member answered on a connection of its own, and all of them were taken for silent once a lease."""
    link = agreeing(tmp_path)
    dialled, route = mock.Mock(closed=False), mock.Mock(closed=False)
    link.outbound, link.inbound = {"a0": dialled}, {"a0": route}
    link._send([("a0", Message(Kind.LEASE_GRANT, "a1"))], [])
    assert (route.send.call_count, dialled.send.call_count, link.unanswered_since) == (1, 0, {})
    link._send([("a0", Message(Kind.STATE, "a1"))], [])
    assert (route.send.call_count, dialled.send.call_count, link.unanswered_since) == (1, 1, {})
    link._send([("a0", Message(Kind.LEASE_REQUEST, "a1"))], [])
    assert (route.send.call_count, dialled.send.call_count, list(link.unanswered_since)) == (1, 2, ["a0"])
    route.closed = True
    link._send([("a0", Message(Kind.LEASE_GRANT, "a1"))], [])
    assert (route.send.call_count, dialled.send.call_count) == (1, 3)
    link.close()


def test_a_proposal_that_is_repeated_makes_no_second_charter(tmp_path: Path) -> None:
    """Whoever calls again because an answer was lost found the values under the next number as well."""
    link = agreeing(tmp_path)
    participant = link.participant
    participant.voter = mock.Mock()
    participant.voter_status = ("", 1, True)
    assert participant.propose(b'{"rules": {"open": 20}}') == "" and participant.tasks.qsize() == 1
    first = participant.holder.newest
    participant.holder.restore(first.successor({"open": 20}), first)
    for in_force in (False, True):  # chosen a moment ago, and later
        participant.voter_status = ("", 2, in_force)
        assert participant.propose(b'{"rules": {"open": 20}}') == "" and participant.tasks.qsize() == 1
    assert participant.propose(b'{"rules": {"open": 30}}') == "" and participant.tasks.qsize() == 2
    link.close()
