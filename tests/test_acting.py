"""What agreed rules make of one agent, how notes are signed, and the seam by which subsystems change inputs."""

import json
import math
import os
import random
import tempfile
import unittest
from collections.abc import Iterable
from pathlib import Path
from unittest import mock

import pytest

from seamlb.agree.acting import Acting
from seamlb.agree.charter import Charter, Field
from seamlb.agree.frames import LONGEST, Codec, FrameError, Reader
from seamlb.agree.holder import Holder, Stance
from seamlb.agree.link import AgreeLink
from seamlb.agree.notes import Kind, Note
from seamlb.agree.table import Agreed
from seamlb.api import Availability
from seamlb.routing.model import Desk
from seamlb.routing.seam import Part, Seam
from tests.fleet import check_files
from tests.support import RAW, settings

KEYS = {1: b"k" * 32, 2: b"l" * 32}
FOUNDING = "ab" * 16
PLAIN = {"open": 50, "desks": ["d1"], "zones": {"zones": ["east", "west"], "left": ["west"]}}


def desk(name: str, zone: int = 0, state: Availability = Availability.READY) -> Desk:
    return Desk(name, "", zone, 0, state, 0.0)


def acting(now: list[float], tenants: int = 2, agents: int = 4) -> Acting:
    names = tuple(sorted(f"a{n}" for n in range(agents)))
    shares = {
        f"tenant.t{n}": Field(
            "share",
            {"whole": 8.0, "parts": dict.fromkeys(names, 8.0 / agents)},
            {"whole": 8.0, "parts": dict.fromkeys(names, 1.0 / agents)},
        )
        for n in range(tenants)
    }
    first = Charter(
        1,
        "",
        names[:1],
        names,
        shares
        | {
            "open": Field("limit", PLAIN["open"], 5),
            "desks": Field("held", PLAIN["desks"], ["d1", "d2"]),
            "zones": Field("left", PLAIN["zones"], {"zones": ["east", "west"], "left": []}),
            "note": Field("free", "x", ""),
        },
    )
    holder = Holder("a1", 2.0, first, first, 0.0, 0)
    return Acting(holder, ("east", "west"), lambda: now[0])


def lend(found: Acting, until: float) -> None:
    found.holder.until, found.holder.cleared = until, 1


@pytest.mark.parametrize(("tenants", "agents"), [(1, 1), (3, 5), (40, 200)])
def test_an_agent_takes_its_part_and_alone_what_every_charter_leaves_it(tenants: int, agents: int) -> None:
    now = [1.0]
    found = acting(now, tenants, max(agents, 2))
    base = settings(
        Instances=max(agents, 2),
        Tenants=[{"Name": f"t{n}", "AllowancePerS": 3.0} for n in range(tenants)]
        + [{"Name": "other", "AllowancePerS": 7.0}],
    )
    assert found.look() and not found.look()  # alone
    assert found.open == 5
    assert found.settings(base).allowances == pytest.approx((1.0,) * tenants + (7.0,))
    lend(found, 3.0)
    assert found.look() and not found.look()
    assert found.open == 50
    assert found.settings(base).allowances == pytest.approx((8.0,) * tenants + (7.0,))
    now[0] = 3.0  # the lease ends at this moment, whether or not anybody has renewed it
    assert found.look()
    assert found.open == 5
    assert [one[2] for one in found.news][-1] == 3.0


def test_desks_and_zones_that_are_held_drain_for_the_module_and_come_back() -> None:
    now = [1.0]
    found = acting(now)
    desks = [desk("d1"), desk("d2"), desk("d3"), desk("d4", 1), desk("d5", 0, Availability.DRAINING)]
    lend(found, 9.0)
    found.look()

    def states(seen: Iterable[Desk]) -> dict[str, int]:
        return {one.ident: one.availability for one in seen}

    ready, drains = Availability.READY, Availability.DRAINING
    assert states(found.listed(0.0, 0.0, desks, True)) == {
        "d1": drains,
        "d2": ready,
        "d3": ready,
        "d4": drains,
        "d5": drains,
    }
    assert found.changed(0.0, 0.0) == []
    now[0] = 10.0
    found.look()
    assert states(found.changed(0.0, 0.0)) == {"d2": drains, "d4": ready}
    assert found.changed(0.0, 0.0) == []
    gone = desk("d1", 0, Availability.GONE)
    assert states(found.listed(0.0, 0.0, [gone], False)) == {"d1": Availability.GONE}
    assert "d1" not in found.told
    assert found.listed(0.0, 0.0, [], True) == [] and not found.told


class Holding(Part):
    def __init__(self, name: str) -> None:
        self.name, self.on, self.desks = name, True, dict[str, Desk]()

    def listed(self, now: float, unix_ms: float, desks: Iterable[Desk], whole: bool) -> list[Desk]:
        self.desks |= {one.ident: one for one in desks}
        return [self._seen(one) for one in desks]

    def changed(self, now: float, unix_ms: float) -> list[Desk]:
        return [self._seen(one) for one in self.desks.values() if one.ident == self.name]

    def _seen(self, one: Desk) -> Desk:
        return desk(one.ident, 0, Availability.DRAINING) if self.on and one.ident == self.name else one


@pytest.mark.parametrize("first", [0, 1])
def test_what_one_part_lets_go_another_still_holds(first: int) -> None:
    """Two parts hold the same desk; whichever lets go of it, the module hears of no free one."""
    seam, parts = Seam(), [Holding("d1"), Holding("d1")]
    seam.parts += parts
    seam.listed(0.0, 0.0, [desk("d1"), desk("d2")], True)
    parts[first].on = False
    assert [one.availability for one in seam.changed(0.0, 0.0)] == [Availability.DRAINING]
    parts[1 - first].on = False
    assert [one.availability for one in seam.changed(0.0, 0.0)] == [Availability.READY]


def test_a_frame_survives_cuts_at_any_byte_and_a_changed_byte_is_never_believed() -> None:
    rng = random.Random(5)
    sender, reader = Codec("a0", FOUNDING, KEYS, 2), Codec("a1", FOUNDING, KEYS, 1)
    notes = [Note(Kind.ASK, "a0", slot=n, ask=n, body=b'{"a":"' + b"x" * n * 100 + b'"}') for n in range(1, 4)]
    data = b"".join(sender.encode("a1", one) for one in notes)
    for _ in range(50):
        cuts = sorted(rng.sample(range(len(data)), 5))
        stream = Reader(reader)
        pieces = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]
        assert [note for piece in pieces for note in stream.feed(piece)] == notes
    for at in range(4, len(sender.encode("a1", notes[0]))):
        one = bytearray(sender.encode("a1", notes[0]))
        one[at] ^= 1
        assert list(Reader(reader).feed(bytes(one))) == []
    for other, reason in (
        (Codec("a0", FOUNDING, {9: b"m" * 32}, 9), "wrong signature"),
        (Codec("a0", "cd" * 16, KEYS, 1), "another founding charter"),
    ):
        reader.dropped.clear()
        assert list(Reader(reader).feed(other.encode("a1", notes[0]))) == [] and reader.dropped[reason] == 1
    assert list(Reader(reader).feed(sender.encode("a2", notes[0]))) == [] and reader.dropped["not for us"] == 1
    with pytest.raises(FrameError):
        list(Reader(reader).feed((LONGEST + 1).to_bytes(4) + b"\1"))


def test_only_the_agent_looks_so_that_no_change_is_kept_from_its_module(tmp_path: Path) -> None:
    """What logs and shows the stance has the agent look: else the change would be told to nobody else."""
    first, asked = acting([1.0]).holder.newest, []
    link = AgreeLink(Agreed("", tmp_path, first, KEYS, 1, {"a0": ""}, 1.0), "a1", (), lambda: asked.append(1))
    link.say()
    link.table()
    assert len(asked) == 2
    assert link.acting.look()


def agreeing(folder: Path) -> AgreeLink:
    """An agent that has a lease on its first charter and no sockets."""
    first = acting([1.0]).holder.newest
    link = AgreeLink(Agreed("", folder, first, KEYS, 1, {"a0": ""}, 1.0), "a1", (), lambda: link.acting.look())
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


class Files(unittest.TestCase):
    def test_what_is_wrong_is_one_line_and_exit_2(self) -> None:
        good = {
            "listen": "127.0.0.1:7100",
            "founding": "f.toml",
            "state": "s",
            "keys": "k",
            "council": ["a0=127.0.0.1:7100", "a1=127.0.0.1:7101", "a2=127.0.0.1:7102"],
        }
        founding = 'council = ["a0", "a1", "a2"]\nagents = ["a0", "a1", "a2", "a3"]\n'
        rule = '[rules.open]\nkind = "limit"\nvalue = 10\nalone = 2\n'
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "s").mkdir()
            (folder / "k").write_text(f'send = 1\n[keys]\n1 = "{"11" * 32}"\n')
            (folder / "k").chmod(0o600)
            (folder / "c.json").write_text(json.dumps({"settings": RAW, "listen": "127.0.0.1:0", "name": "a1"}))
            for change, text, says in (
                ({}, founding + rule, ""),
                ({"within": 0.5}, founding, "agree.within: not 1 to 60 seconds"),
                ({"state": "none"}, founding, "agree.state: no folder"),
                ({"listen": ""}, founding, "agree.listen: missing"),
                ({"listen": "here"}, founding, "agree.listen: not host:port"),
                ({"council": good["council"][:2]}, founding, "agree.council: no address of 'a2'"),
                ({"lease": 1}, founding, "agree.lease: unknown key"),
                ({}, founding.replace('["a0", "a1", "a2"]', '["a0", "a1"]'), "2 members, not 1, 3, 5 or 7"),
                ({}, founding + rule.replace("alone = 2", "alone = 20"), "open: below 20"),
                ({}, founding + rule.replace("limit", "free"), "open: of kind 'free', not 'limit'"),
                ({}, founding + rule.replace("value = 10\n", ""), "rules.open: not kind, value and alone"),
                ({}, "people = 3\n" + founding, "unknown key 'people'"),
                ({"founding": "none.toml"}, founding, "No such file"),
            ):
                with self.subTest(says=says):
                    (folder / "f.toml").write_text(text)
                    (folder / "p.toml").write_text(
                        "[agree]\n" + "".join(f"{key} = {json.dumps(one)}\n" for key, one in (good | change).items())
                    )
                    check_files(self, folder, says)
