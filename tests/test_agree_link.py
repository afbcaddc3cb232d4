"""When notes are acted on, where answers go, and proposals that are repeated."""

import math
import os
from pathlib import Path
from unittest import mock

from seamlb.agree.holder import Stance
from seamlb.agree.link import AgreeLink
from seamlb.agree.notes import Kind, Note
from seamlb.agree.table import Agreed
from tests.agents import KEYS, acting, lend


def test_only_the_agent_looks_so_that_no_change_is_kept_from_its_module(tmp_path: Path) -> None:
    """What logs and shows the stance has the agent look: else the change would be told to nobody else."""
    first, asked = acting([1.0]).holder.newest, []
    link = AgreeLink(Agreed("", tmp_path, first, KEYS, 1, {"a0": ""}, 1.0), "a1", (), lambda: asked.append(1))
    link.say()
    link.table()
    assert len(asked) == 2
    assert link.acting.refresh()


def agreeing(folder: Path) -> AgreeLink:
    """An agent that has a lease on its first charter and no sockets."""
    first = acting([1.0]).holder.newest
    link = AgreeLink(Agreed("", folder, first, KEYS, 1, {"a0": ""}, 1.0), "a1", (), lambda: link.acting.refresh())
    link.seat.lock = os.open(folder, os.O_RDONLY)
    lend(link.acting, math.inf)
    link.say()
    return link


def test_a_note_that_changes_what_is_in_force_is_acted_on_before_it_is_answered(tmp_path: Path) -> None:
    """Acted on at the next step only, the old charter was logged as in force while others acted on the new one."""
    link = agreeing(tmp_path)
    first = link.seat.holder.newest
    second = first.altered({"open": 20})
    link._send([("a1", Note(Kind.CHOSEN, "a0", body=second.body, before=first.body))], [])
    assert [(stance, charter.number) for stance, charter, _ in link.acting.news] == [(Stance.GUARD, 2)]
    link.close()


def test_members_answer_on_the_connection_that_asked_and_await_answers_to_requests_only(tmp_path: Path) -> None:
    """Each member answered on a connection of its own, and all of them were taken for silent once a lease."""
    link = agreeing(tmp_path)
    dialled, route = mock.Mock(closed=False), mock.Mock(closed=False)
    link.dialled, link.routes = {"a0": dialled}, {"a0": route}
    link._send([("a0", Note(Kind.GRANT, "a1"))], [])
    assert (route.send.call_count, dialled.send.call_count, link.asked) == (1, 0, {})
    link._send([("a0", Note(Kind.STATE, "a1"))], [])
    assert (route.send.call_count, dialled.send.call_count, link.asked) == (1, 1, {})
    link._send([("a0", Note(Kind.ASK, "a1"))], [])
    assert (route.send.call_count, dialled.send.call_count, list(link.asked)) == (1, 2, ["a0"])
    route.closed = True
    link._send([("a0", Note(Kind.GRANT, "a1"))], [])
    assert (route.send.call_count, dialled.send.call_count) == (1, 3)
    link.close()


def test_a_proposal_that_is_repeated_makes_no_second_charter(tmp_path: Path) -> None:
    """Whoever calls again because an answer was lost found the values under the next number as well."""
    link = agreeing(tmp_path)
    seat = link.seat
    seat.member = mock.Mock()
    seat.seen = ("", 1, True)
    assert seat.propose(b'{"rules": {"open": 20}}') == "" and seat.work.qsize() == 1
    first = seat.holder.newest
    seat.holder.restore(first.altered({"open": 20}), first)
    for in_force in (False, True):  # chosen a moment ago, and later
        seat.seen = ("", 2, in_force)
        assert seat.propose(b'{"rules": {"open": 20}}') == "" and seat.work.qsize() == 1
    assert seat.propose(b'{"rules": {"open": 30}}') == "" and seat.work.qsize() == 2
    link.close()
