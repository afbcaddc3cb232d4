"""Enforcement of agreed rules in one agent, signed messages, and filters that change the module's inputs."""

import random
from collections.abc import Iterable

import pytest

from seamlb.agree.frames import MAX_FRAME_BYTES, Codec, FrameError, FrameReader
from seamlb.agree.messages import Kind, Message
from seamlb.api import Availability
from seamlb.routing.input_filters import InputFilter, InputFilterChain
from seamlb.routing.model import Desk
from tests.agree_agent import FOUNDING, KEYS, desk, grant_lease, make_enforcer
from tests.support import settings


@pytest.mark.parametrize(("tenants", "agents"), [(1, 1), (3, 5), (40, 200)])
def test_an_agent_uses_its_share_with_a_lease_and_the_fallback_values_without(tenants: int, agents: int) -> None:
    now = [1.0]
    enforcer = make_enforcer(now, tenants, max(agents, 2))
    base = settings(
        Instances=max(agents, 2),
        Tenants=[{"Name": f"t{n}", "AllowancePerS": 3.0} for n in range(tenants)]
        + [{"Name": "other", "AllowancePerS": 7.0}],
    )
    assert enforcer.refresh() and not enforcer.refresh()  # no lease yet
    assert enforcer.max_open == 5
    assert enforcer.filter_settings(base).allowances == pytest.approx((1.0,) * tenants + (7.0,))
    grant_lease(enforcer, 3.0)
    assert enforcer.refresh() and not enforcer.refresh()
    assert enforcer.max_open == 50
    assert enforcer.filter_settings(base).allowances == pytest.approx((8.0,) * tenants + (7.0,))
    now[0] = 3.0  # the lease expires at this moment
    assert enforcer.refresh()
    assert enforcer.max_open == 5
    assert [change[2] for change in enforcer.state_changes][-1] == 3.0


def test_held_desks_and_desks_of_zones_that_were_left_drain_and_come_back() -> None:
    now = [1.0]
    enforcer = make_enforcer(now)
    desks = [desk("d1"), desk("d2"), desk("d3"), desk("d4", 1), desk("d5", 0, Availability.DRAINING)]
    grant_lease(enforcer, 9.0)
    enforcer.refresh()

    def availabilities(desks: Iterable[Desk]) -> dict[str, int]:
        return {desk.ident: desk.availability for desk in desks}

    ready, draining = Availability.READY, Availability.DRAINING
    assert availabilities(enforcer.filter_desks(0.0, 0.0, desks, True)) == {
        "d1": draining,
        "d2": ready,
        "d3": ready,
        "d4": draining,
        "d5": draining,
    }
    assert enforcer.changed_desks(0.0, 0.0) == []
    now[0] = 10.0
    enforcer.refresh()
    assert availabilities(enforcer.changed_desks(0.0, 0.0)) == {"d2": draining, "d4": ready}
    assert enforcer.changed_desks(0.0, 0.0) == []
    gone = desk("d1", 0, Availability.GONE)
    assert availabilities(enforcer.filter_desks(0.0, 0.0, [gone], False)) == {"d1": Availability.GONE}
    assert "d1" not in enforcer.listed_desks
    assert enforcer.filter_desks(0.0, 0.0, [], True) == [] and not enforcer.listed_desks


class DrainingFilter(InputFilter):
    def __init__(self, name: str) -> None:
        self.name, self.active, self.desks = name, True, dict[str, Desk]()

    def filter_desks(self, now: float, unix_ms: float, desks: Iterable[Desk], whole: bool) -> list[Desk]:
        self.desks |= {listed.ident: listed for listed in desks}
        return [self._filtered(listed) for listed in desks]

    def changed_desks(self, now: float, unix_ms: float) -> list[Desk]:
        return [self._filtered(listed) for listed in self.desks.values() if listed.ident == self.name]

    def _filtered(self, listed: Desk) -> Desk:
        return desk(listed.ident, 0, Availability.DRAINING) if self.active and listed.ident == self.name else listed


@pytest.mark.parametrize("first", [0, 1])
def test_a_desk_that_two_filters_drain_stays_draining_until_both_release_it(first: int) -> None:
    """Whichever filter releases the desk first, the module must not see it as ready."""
    chain, filters = InputFilterChain(), [DrainingFilter("d1"), DrainingFilter("d1")]
    chain.filters += filters
    chain.filter_desks(0.0, 0.0, [desk("d1"), desk("d2")], True)
    filters[first].active = False
    assert [changed.availability for changed in chain.changed_desks(0.0, 0.0)] == [Availability.DRAINING]
    filters[1 - first].active = False
    assert [changed.availability for changed in chain.changed_desks(0.0, 0.0)] == [Availability.READY]


def test_a_stream_cut_at_any_byte_is_read_and_a_frame_with_any_byte_changed_is_dropped() -> None:
    rng = random.Random(5)
    sender, reader = Codec("a0", FOUNDING, KEYS, 2), Codec("a1", FOUNDING, KEYS, 1)
    messages = [
        Message(Kind.LEASE_REQUEST, "a0", slot=n, request_id=n, body=b'{"a":"' + b"x" * n * 100 + b'"}')
        for n in range(1, 4)
    ]
    data = b"".join(sender.encode("a1", message) for message in messages)
    for _ in range(50):
        cuts = sorted(rng.sample(range(len(data)), 5))
        stream = FrameReader(reader)
        pieces = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]
        assert [message for piece in pieces for message in stream.feed(piece)] == messages
    for at in range(4, len(sender.encode("a1", messages[0]))):
        frame = bytearray(sender.encode("a1", messages[0]))
        frame[at] ^= 1
        assert list(FrameReader(reader).feed(bytes(frame))) == []
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
