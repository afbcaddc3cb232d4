"""Several events of a request in one loop iteration: every order of up to four events, in each wait state."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from seamlb import api
from seamlb.emulator import clock as virtual
from seamlb.routing.model import Outcome
from tests.event_orders import CLEAR_WAIT_S, OneRequest, orders

Setup = Callable[[], Awaitable[OneRequest]]


async def just_accepted() -> OneRequest:
    return OneRequest(scripted=0)


async def first_attempt() -> OneRequest:
    request = OneRequest(scripted=1)
    await request.attempt(1)
    return request


async def second_attempt() -> OneRequest:
    request = OneRequest(scripted=2)
    await request.attempt(1)
    request.servers.report(Outcome(api.Status.FULL))
    await request.attempt(2)
    return request


async def waiting_after_reset() -> OneRequest:
    """After a reset, at the end of the wait for the next attempt; the module has not received the timer yet."""
    request = OneRequest(scripted=1)
    await request.attempt(1)
    request.disable_timers()
    request.servers.report(Outcome(api.Status.RESET))
    await asyncio.sleep(CLEAR_WAIT_S + 0.01)
    return request


async def established_call() -> OneRequest:
    request = await first_attempt()
    request.inject("answer")
    await request.until(lambda: request.caller.answers == ["established"])
    return request


SERVER_EVENTS = ("answer", "release", "full", "reset", "caller hung up", "shutdown", "timeout", "cancel", "overdue")
EVENTS_BY_STATE: dict[Setup, tuple[str, ...]] = {
    just_accepted: ("caller hung up", "shutdown", "overdue"),
    first_attempt: SERVER_EVENTS,
    second_attempt: (*SERVER_EVENTS, "old timeout", "old cancel"),
    waiting_after_reset: ("caller hung up", "shutdown", "overdue", "wait over", "no server", "timeout", "cancel"),
    established_call: ("release", "caller hung up", "shutdown", "overdue", "timeout", "cancel"),
}


def possible(state: Setup, order: tuple[str, ...]) -> bool:
    """A server sends at most one answer and then one outcome; only an answered call can be released."""
    outcomes = [event for event in order if event in ("release", "full", "reset")]
    if len(outcomes) > 1 or ("answer" in order and outcomes not in ([], ["release"])):
        return False
    if state is established_call or "release" not in order:
        return True
    return "answer" in order and order.index("answer") < order.index("release")


def expected(state: Setup, order: tuple[str, ...]) -> list[str]:
    """The final answers to the caller, by the rule of precedence in docs/design/races.md."""
    events = set(order)
    if state is established_call:
        return ["established"]  # answered before
    if "caller hung up" in events:
        return []
    no_further_attempt = bool(events & {"shutdown", "overdue"})
    if state is waiting_after_reset:
        decided = next((event for event in order if event in ("wait over", "no server")), "nothing")
        if decided == "no server":
            return ["refused"]  # the list is empty by then
        if no_further_attempt or decided == "nothing":
            return ["failed"]
        # Refused if the server is removed while the attempt starts.
        return ["refused"] if "no server" in events else ["established"]
    if state is just_accepted:
        return ["failed"] if no_further_attempt else ["established"]
    if "answer" in events:
        return ["established"]
    if state is second_attempt and "full" in events:
        return ["refused"]  # by both servers
    if events & {"full", "reset", "timeout", "cancel"}:
        return ["failed"] if no_further_attempt else ["refused"] if state is second_attempt else ["established"]
    return ["failed"] if "shutdown" in events else ["refused"]  # by its timeout


def call_result(order: tuple[str, ...]) -> str:
    """The result of an established call: the server's release takes precedence over a crossing one by the caller."""
    return "released" if "caller hung up" in order and "release" not in order else "stood"


@pytest.mark.parametrize("state", EVENTS_BY_STATE, ids=lambda state: state.__name__)
def test_the_result_is_independent_of_the_order_of_events_in_one_loop_iteration(state: Setup) -> None:
    # Guards against processing a timer before an answer, a refusal or a hang-up that is pending behind it.
    async def run_order(order: tuple[str, ...]) -> list[str]:
        request = await state()
        for event in order:
            request.inject(event)
        await request.finish()
        violations = request.violations()
        if (answers := request.caller.answers) != (wanted := expected(state, order)):
            violations.append(f"answered {answers}, not {wanted}")
        if state is established_call and request.results != [wanted := call_result(order)]:
            violations.append(f"ended as {request.results}, not {wanted}")
        return [f"{', '.join(order)}: {violation}" for violation in violations]

    async def run_all_orders() -> list[str]:
        return [
            violation
            for order in orders(EVENTS_BY_STATE[state], lambda events: possible(state, events))
            for violation in await run_order(order)
        ]

    violations = virtual.run(run_all_orders())
    assert not violations, f"{len(violations)} violations:\n" + "\n".join(violations[:20])
