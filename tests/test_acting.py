"""What agreed rules make of one agent, how notes are signed, and the seam by which subsystems change inputs."""

import random
from collections.abc import Iterable

import pytest

from seamlb.agree.frames import MAX_FRAME_BYTES, Codec, FrameError, FrameReader
from seamlb.agree.notes import Kind, Message
from seamlb.api import Availability
from seamlb.routing.model import Desk
from seamlb.routing.seam import InputFilter, InputFilterChain
from tests.agents import FOUNDING, KEYS, desk, grant_lease, make_enforcer
from tests.support import settings


@pytest.mark.parametrize(("tenants", "agents"), [(1, 1), (3, 5), (40, 200)])
def test_an_agent_takes_its_part_and_alone_what_every_charter_leaves_it(tenants: int, agents: int) -> None:
    now = [1.0]
    found = make_enforcer(now, tenants, max(agents, 2))
    base = settings(
        Instances=max(agents, 2),
        Tenants=[{"Name": f"t{n}", "AllowancePerS": 3.0} for n in range(tenants)]
        + [{"Name": "other", "AllowancePerS": 7.0}],
    )
    assert found.refresh() and not found.refresh()  # alone
    assert found.max_open == 5
    assert found.filter_settings(base).allowances == pytest.approx((1.0,) * tenants + (7.0,))
    grant_lease(found, 3.0)
    assert found.refresh() and not found.refresh()
    assert found.max_open == 50
    assert found.filter_settings(base).allowances == pytest.approx((8.0,) * tenants + (7.0,))
    now[0] = 3.0  # the lease ends at this moment, whether or not anybody has renewed it
    assert found.refresh()
    assert found.max_open == 5
    assert [one[2] for one in found.state_changes][-1] == 3.0


def test_desks_and_zones_that_are_held_drain_for_the_module_and_come_back() -> None:
    now = [1.0]
    found = make_enforcer(now)
    desks = [desk("d1"), desk("d2"), desk("d3"), desk("d4", 1), desk("d5", 0, Availability.DRAINING)]
    grant_lease(found, 9.0)
    found.refresh()

    def states(seen: Iterable[Desk]) -> dict[str, int]:
        return {one.ident: one.availability for one in seen}

    ready, drains = Availability.READY, Availability.DRAINING
    assert states(found.filter_desks(0.0, 0.0, desks, True)) == {
        "d1": drains,
        "d2": ready,
        "d3": ready,
        "d4": drains,
        "d5": drains,
    }
    assert found.changed_desks(0.0, 0.0) == []
    now[0] = 10.0
    found.refresh()
    assert states(found.changed_desks(0.0, 0.0)) == {"d2": drains, "d4": ready}
    assert found.changed_desks(0.0, 0.0) == []
    gone = desk("d1", 0, Availability.GONE)
    assert states(found.filter_desks(0.0, 0.0, [gone], False)) == {"d1": Availability.GONE}
    assert "d1" not in found.listed_desks
    assert found.filter_desks(0.0, 0.0, [], True) == [] and not found.listed_desks


class Holding(InputFilter):
    def __init__(self, name: str) -> None:
        self.name, self.on, self.desks = name, True, dict[str, Desk]()

    def filter_desks(self, now: float, unix_ms: float, desks: Iterable[Desk], whole: bool) -> list[Desk]:
        self.desks |= {one.ident: one for one in desks}
        return [self._seen(one) for one in desks]

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        return [self._seen(one) for one in self.desks.values() if one.ident == self.name]

    def _seen(self, one: Desk) -> Desk:
        return desk(one.ident, 0, Availability.DRAINING) if self.on and one.ident == self.name else one


@pytest.mark.parametrize("first", [0, 1])
def test_what_one_part_lets_go_another_still_holds(first: int) -> None:
    """Two parts hold the same desk; whichever lets go of it, the module hears of no free one."""
    seam, parts = InputFilterChain(), [Holding("d1"), Holding("d1")]
    seam.filters += parts
    seam.filter_desks(0.0, 0.0, [desk("d1"), desk("d2")], True)
    parts[first].on = False
    assert [one.availability for one in seam.changed_desks(0.0, 0.0)] == [Availability.DRAINING]
    parts[1 - first].on = False
    assert [one.availability for one in seam.changed_desks(0.0, 0.0)] == [Availability.READY]


def test_a_frame_survives_cuts_at_any_byte_and_a_changed_byte_is_never_believed() -> None:
    rng = random.Random(5)
    sender, reader = Codec("a0", FOUNDING, KEYS, 2), Codec("a1", FOUNDING, KEYS, 1)
    messages = [
        Message(Kind.LEASE_REQUEST, "a0", slot=n, request_id=n, body=b'{"a":"' + b"x" * n * 100 + b'"}')
        for n in range(1, 4)
    ]
    data = b"".join(sender.encode("a1", one) for one in messages)
    for _ in range(50):
        cuts = sorted(rng.sample(range(len(data)), 5))
        stream = FrameReader(reader)
        pieces = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]
        assert [message for piece in pieces for message in stream.feed(piece)] == messages
    for at in range(4, len(sender.encode("a1", messages[0]))):
        one = bytearray(sender.encode("a1", messages[0]))
        one[at] ^= 1
        assert list(FrameReader(reader).feed(bytes(one))) == []
    for other, reason in (
        (Codec("a0", FOUNDING, {9: b"m" * 32}, 9), "wrong signature"),
        (Codec("a0", "cd" * 16, KEYS, 1), "another founding charter"),
    ):
        reader.dropped.clear()
        assert list(FrameReader(reader).feed(other.encode("a1", messages[0]))) == [] and reader.dropped[reason] == 1
    assert (
        list(FrameReader(reader).feed(sender.encode("a2", messages[0]))) == [] and reader.dropped["not for us"] == 1
    )
    with pytest.raises(FrameError):
        list(FrameReader(reader).feed((MAX_FRAME_BYTES + 1).to_bytes(4) + b"\1"))
