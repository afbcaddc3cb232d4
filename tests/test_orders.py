"""Several events of a request in one turn of the loop: every order of up to four of them, at each place it waits."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from seamlb import api
from seamlb.emulator import clock as virtual
from seamlb.routing.model import Outcome
from tests.one_turn import BAR, OneRequest, orders

Story = Callable[[], Awaitable[OneRequest]]


async def just_taken() -> OneRequest:
    return OneRequest(by_hand=0)


async def first_attempt() -> OneRequest:
    one = OneRequest(by_hand=1)
    await one.attempt(1)
    return one


async def second_attempt() -> OneRequest:
    one = OneRequest(by_hand=2)
    await one.attempt(1)
    one.upstream.tell(Outcome(api.Status.FULL))
    await one.attempt(2)
    return one


async def barred() -> OneRequest:
    """Behind a reset, at the end of the bar, of which the module has yet to be told."""
    one = OneRequest(by_hand=1)
    await one.attempt(1)
    one.silence()
    one.upstream.tell(Outcome(api.Status.RESET))
    await asyncio.sleep(BAR + 0.01)
    return one


async def standing() -> OneRequest:
    one = await first_attempt()
    one.play("answer")
    await one.until(lambda: one.caller.told == ["stands"])
    return one


SERVER_EVENTS = ("answer", "release", "full", "reset", "caller left", "shutdown", "time-out", "withdrawn", "overdue")
PLACES: dict[Story, tuple[str, ...]] = {
    just_taken: ("caller left", "shutdown", "overdue"),
    first_attempt: SERVER_EVENTS,
    second_attempt: (*SERVER_EVENTS, "old time-out", "old withdrawn"),
    barred: ("caller left", "shutdown", "overdue", "bar over", "no server", "time-out", "withdrawn"),
    standing: ("release", "caller left", "shutdown", "overdue", "time-out", "withdrawn"),
}


def possible(place: Story, order: tuple[str, ...]) -> bool:
    """A server says at most an answer and then one outcome; a release comes of a call that was answered."""
    outcomes = [one for one in order if one in ("release", "full", "reset")]
    if len(outcomes) > 1 or ("answer" in order and outcomes not in ([], ["release"])):
        return False
    if place is standing or "release" not in order:
        return True
    return "answer" in order and order.index("answer") < order.index("release")


def expected(place: Story, order: tuple[str, ...]) -> list[str]:
    """What the caller is told, by the rule of precedence in docs/design/races.md."""
    events = set(order)
    if place is standing:
        return ["stands"]  # told before
    if "caller left" in events:
        return []
    over = bool(events & {"shutdown", "overdue"})  # no further attempt begins
    if place is barred:
        decided = next((one for one in order if one in ("bar over", "no server")), "nothing")
        if decided == "no server":
            return ["refused"]  # no server is listed any more
        if over or decided == "nothing":
            return ["failed"]
        return ["refused"] if "no server" in events else ["stands"]  # refused: it went just as it was sent to
    if place is just_taken:
        return ["failed"] if over else ["stands"]
    if "answer" in events:
        return ["stands"]
    if place is second_attempt and "full" in events:
        return ["refused"]  # by both servers
    if events & {"full", "reset", "time-out", "withdrawn"}:
        return ["failed"] if over else ["refused"] if place is second_attempt else ["stands"]
    return ["failed"] if "shutdown" in events else ["refused"]  # its time-out ends it


def ended(order: tuple[str, ...]) -> str:
    """How a call that stood ended: what its server said goes before a release that crossed it."""
    return "released" if "caller left" in order and "release" not in order else "stood"


@pytest.mark.parametrize("place", PLACES, ids=lambda place: place.__name__)
def test_the_order_of_events_in_one_turn_changes_nothing(place: Story) -> None:
    # Guards against timers that are taken ahead of an answer, a refusal or a caller's end pending behind them.
    async def play(order: tuple[str, ...]) -> list[str]:
        one = await place()
        for event in order:
            one.play(event)
        await one.finish()
        found = one.broken()
        if (told := one.caller.told) != (wanted := expected(place, order)):
            found.append(f"told {told}, not {wanted}")
        if place is standing and one.results != [wanted := ended(order)]:
            found.append(f"ended as {one.results}, not {wanted}")
        return [f"{', '.join(order)}: {fault}" for fault in found]

    async def play_all() -> list[str]:
        return [
            fault for order in orders(PLACES[place], lambda one: possible(place, one)) for fault in await play(order)
        ]

    faults = virtual.run(play_all())
    assert not faults, f"{len(faults)} faults:\n" + "\n".join(faults[:20])
