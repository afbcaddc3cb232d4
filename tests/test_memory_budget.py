"""What is charged to the memory budget is given back, so that it never runs out without a cause."""

import asyncio

from seamlb.memory import CALL_BYTES, CONNECTION_BYTES, MIN_BUDGET, MemoryBudget
from tests.loopback import ScriptedDesk, invite, never_answer, sip_request
from tests.sip_peers import SipTestCase


class Budget(SipTestCase):
    async def test_connections_messages_and_calls_give_back_what_they_held(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        caller.send(sip_request("ACK"))
        caller.send(invite("00000000000000a2").encode()[:100])
        await self.eventually(lambda: daemon.memory.used > CALL_BYTES + CONNECTION_BYTES + 99)
        caller.send(sip_request("BYE").encode())  # completes the partial message, and is refused with it
        caller.close()
        desk.peers[0].send(sip_request("BYE"))
        await self.eventually(lambda: not daemon.agent.sessions and not daemon.front.clients)
        await self.eventually(lambda: daemon.memory.used == 0)

    async def test_calls_that_are_given_up_give_back_what_they_held(self) -> None:
        daemon = await self.start(ScriptedDesk(never_answer))
        callers = [await self.caller() for _ in range(3)]
        for number, caller in enumerate(callers):
            caller.send(invite(f"{number:016x}"))
        await self.eventually(lambda: len(daemon.agent.sessions) == 3)
        for caller in callers:
            caller.close()
        await self.eventually(lambda: daemon.memory.used == 0)

    async def test_refused_sip_requests_over_tcp_give_back_what_they_held(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "tcp")
        for number in ("503", "486"):
            self.assertEqual((await caller.invite(number)).status, 503)
        caller.peer.close()
        await self.eventually(lambda: daemon.memory.used == 0)

    async def test_without_room_new_calls_are_refused_and_those_that_stand_are_released(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        caller.send(sip_request("ACK"))
        daemon.memory.limit = daemon.memory.used
        caller.send(invite("00000000000000a2"))
        self.assertEqual((await caller.until(503)).get("retry-after"), "1")
        caller.send(sip_request("BYE"))
        await caller.until(200)
        await asyncio.wait_for(desk.until("BYE"), 5.0)

    async def test_without_room_a_sip_call_is_still_released(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "udp")
        self.assertEqual((await caller.invite()).status, 200)
        daemon.memory.limit = 0
        caller.peer.send(caller.build("BYE"))
        await caller.peer.until(200)
        await self.eventually(lambda: "BYE" in self.sip_desk.methods())

    def test_the_limit_leaves_room_for_the_process_itself(self) -> None:
        budget = MemoryBudget()
        budget.set_limit(64, 30_000_000)
        self.assertTrue(34_000_000 / 2 < budget.limit < 34_000_000)
        budget.charge(5)
        self.assertEqual(budget.stats(), {"memory_charged": 5, "memory_budget": budget.limit})
        budget.set_limit(32, 30_000_000)
        self.assertEqual(budget.limit, MIN_BUDGET)
