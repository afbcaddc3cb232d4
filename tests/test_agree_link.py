"""When messages take effect, which connections replies use, and repeated proposals."""

import math
import os
from pathlib import Path
from unittest import mock

from seamlb.agree.lease import LeaseState
from seamlb.agree.messages import Kind, Message
from seamlb.agree.service import AgreementService
from seamlb.agree.settings import AgreeSettings
from tests.agree_agent import KEYS, grant_lease, make_enforcer


def test_logs_and_status_have_the_agent_refresh_so_that_its_module_gets_every_change(tmp_path: Path) -> None:
    """If they refreshed the enforcer themselves, the agent would not see the change and not pass it on."""
    first, refreshes = make_enforcer([1.0]).holder.newest, []
    service = AgreementService(
        AgreeSettings("", tmp_path, first, KEYS, 1, {"a0": ""}, 1.0), "a1", (), lambda: refreshes.append(1)
    )
    service.log_changes()
    service.status()
    assert len(refreshes) == 2
    assert service.enforcer.refresh()


def service_with_lease(folder: Path) -> AgreementService:
    """An agent without sockets that has a lease on its first version."""
    first = make_enforcer([1.0]).holder.newest
    service = AgreementService(
        AgreeSettings("", folder, first, KEYS, 1, {"a0": ""}, 1.0), "a1", (), lambda: service.enforcer.refresh()
    )
    service.participant.lock_fd = os.open(folder, os.O_RDONLY)
    grant_lease(service.enforcer, math.inf)
    service.log_changes()
    return service


def test_a_chosen_version_takes_effect_before_it_is_confirmed(tmp_path: Path) -> None:
    """When it took effect at the next step, the old version was logged as in force while others applied the new."""
    service = service_with_lease(tmp_path)
    first = service.participant.holder.newest
    second = first.successor({"open": 20})
    service._send([("a1", Message(Kind.CHOSEN, "a0", body=second.body, previous=first.body))], [])
    assert [(lease_state, version.number) for lease_state, version, _ in service.enforcer.state_changes] == [
        (LeaseState.TRANSITION, 2)
    ]
    service.close()


def test_replies_use_the_connection_of_the_request_and_only_requests_expect_a_reply(tmp_path: Path) -> None:
    """Replies used a connection of their own, so every connection was closed as silent once per lease."""
    service = service_with_lease(tmp_path)
    outbound, inbound = mock.Mock(closed=False), mock.Mock(closed=False)
    service.outbound, service.inbound = {"a0": outbound}, {"a0": inbound}
    service._send([("a0", Message(Kind.LEASE_GRANT, "a1"))], [])
    assert (inbound.send.call_count, outbound.send.call_count, service.unanswered_since) == (1, 0, {})
    service._send([("a0", Message(Kind.STATE, "a1"))], [])
    assert (inbound.send.call_count, outbound.send.call_count, service.unanswered_since) == (1, 1, {})
    service._send([("a0", Message(Kind.LEASE_REQUEST, "a1"))], [])
    assert (inbound.send.call_count, outbound.send.call_count, list(service.unanswered_since)) == (1, 2, ["a0"])
    inbound.closed = True
    service._send([("a0", Message(Kind.LEASE_GRANT, "a1"))], [])
    assert (inbound.send.call_count, outbound.send.call_count) == (1, 3)
    service.close()


def test_a_repeated_proposal_creates_no_second_version(tmp_path: Path) -> None:
    """An operator who repeated a request because the response was lost got a second version with the same values."""
    service = service_with_lease(tmp_path)
    participant = service.participant
    participant.voter = mock.Mock()
    participant.voter_status = ("", 1, True)
    assert participant.propose(b'{"rules": {"open": 20}}') == "" and participant.tasks.qsize() == 1
    first = participant.holder.newest
    participant.holder.restore(first.successor({"open": 20}), first)
    for in_force in (False, True):  # just after it was chosen, and later
        participant.voter_status = ("", 2, in_force)
        assert participant.propose(b'{"rules": {"open": 20}}') == "" and participant.tasks.qsize() == 1
    assert participant.propose(b'{"rules": {"open": 30}}') == "" and participant.tasks.qsize() == 2
    service.close()
