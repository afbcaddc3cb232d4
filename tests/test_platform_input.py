"""The platform front: exceptions, malformed and duplicate messages, and messages about calls of other callers."""

import asyncio
from unittest import mock

from seamlb import api
from seamlb.protocol.sip import Message
from tests.loopback import (
    HANG_TIMEOUT,
    SDP,
    DaemonTestCase,
    Peer,
    ScriptedDesk,
    bye,
    invite,
    never_answer,
    reply,
    sip_request,
)
from tests.support import LONG_TARGETS, RAW

ID = "00000000000000a1"


class Robustness(DaemonTestCase):
    # On a busy machine an answer that is sent in single bytes takes longer than the timeout.
    @mock.patch("seamlb.desks.reader.PARTIAL_MESSAGE_TIMEOUT", HANG_TIMEOUT)
    async def test_an_exchange_sent_in_single_bytes(self) -> None:
        async def drip(peer: Peer, *messages: Message) -> None:
            for data in (message.encode() for message in messages):
                for index in range(len(data)):
                    peer.send(data[index : index + 1])
                    await asyncio.sleep(0)

        async def script(peer: Peer, message: Message) -> None:
            await drip(peer, reply(message, 100), reply(message, 200, body=SDP), bye(message.get("call-id"), 16))

        daemon = await self.start(ScriptedDesk(script), settings=LONG_TARGETS)
        tasks = len(asyncio.all_tasks())
        caller = await self.caller()
        for ident in (ID, "00000000000000a2"):
            await drip(caller, invite(ident), sip_request("OPTIONS", "t"))
            received = [await caller.next() for _ in range(3)]
            self.assertEqual({(one.method, one.status) for one in received}, {("", 200), ("BYE", 0)})
            self.assertIn(SDP, [one.body for one in received])
        caller.close()
        await self.eventually(lambda: not daemon.front.clients and not daemon.agent.sessions)
        await self.eventually(lambda: len(asyncio.all_tasks()) == tasks)

    async def test_an_exception_in_one_call_fails_only_that_call(self) -> None:
        daemon = await self.start(ScriptedDesk())
        handle = daemon.agent.module.handle

        def faulty(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.CallRequest) and event.call == 1 or isinstance(event, api.ListChange):
                raise ZeroDivisionError
            return handle(now, event)

        daemon.agent.module.handle = faulty
        caller = await self.caller()
        caller.send(invite())
        self.assertEqual((await caller.next()).status, 500)
        caller.send(invite("00000000000000a2"))
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a2")
        daemon.agent.list_changed(api.Scope.DELTA, [])  # the caller of list_changed gets no exception
        self.assertEqual([one["where"] for one in self.events("fault")], ["session", "module"])
        self.assertEqual(daemon.agent.unanswered, 0)


class InvalidInput(DaemonTestCase):
    async def test_bad_messages_get_a_definite_answer(self) -> None:
        await self.start(ScriptedDesk())
        caller = await self.caller()
        for bad, status in (
            (invite(call_class="nobody"), 400),
            (sip_request("PUBLISH"), 405),
            (sip_request("BYE", "unknown"), 481),
            (b"INVITE sip:1@net SIP/2.0\r\nVia: x\r\nCall-ID: 1\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n", 400),
            (b"INVITE sip:1@net SIP/3.0\r\nVia: x\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", 505),
        ):
            caller.send(bad)
            self.assertEqual((await caller.next()).status, status)
        self.assertEqual(self.events("fault"), [])

    async def test_data_that_cannot_be_framed_ends_the_connection_with_its_reason(self) -> None:
        daemon = await self.start(ScriptedDesk())
        head = b"INVITE sip:1@net SIP/2.0\r\nVia: x\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\n"
        for bad, status in (
            (head + b"Content-Length: -5\r\n\r\n", 400),
            (head + b"Content-Length: 99999\r\n\r\n", 513),
            (head + b"\r\n", 400),
            (b"A" * 20000, 0),
            (b"\xff\xfe\r\n\r\n", 0),
        ):
            caller = await self.caller()
            caller.send(bad)
            if status:
                self.assertEqual((await caller.next()).status, status)
            with self.assertRaises(EOFError):
                await caller.next()
            caller.close()
        await self.eventually(lambda: len(self.events("connection_end")) == 5)
        self.assertFalse(daemon.front.clients)
        ends = [one["reason"] for one in self.events("connection_end")]
        self.assertEqual(ends, ["malformed"] * 5)
        self.assertEqual(self.events("fault"), [])

    async def test_a_refusal_reaches_a_caller_that_keeps_sending(self) -> None:
        # Closing a socket with unread input resets the connection, and the refusal was lost with it.
        await self.start(ScriptedDesk())
        caller = await self.caller()
        caller.send(sip_request("INVITE").encode().replace(b"Content-Length: 0", b"Content-Length: 60000000"))
        for _ in range(64):
            caller.send(b"x" * 65536)
            await caller.writer.drain()
        self.assertEqual((await caller.next()).status, 513)
        with self.assertRaises(EOFError):
            await caller.next()

    async def test_a_call_id_used_twice_on_a_connection_gets_one_answer_and_no_second_attempt(self) -> None:
        desk = ScriptedDesk(never_answer)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await desk.until("INVITE")
        for _ in range(3):
            caller.send(invite())
            self.assertEqual((await caller.next()).status, 482)
        await desk.until("CANCEL")
        await self.eventually(lambda: self.events("call_end"))
        caller.send(invite())
        self.assertEqual((await caller.next()).status, 482)
        self.assertTrue(desk.received.empty())

    async def test_a_caller_cannot_end_the_set_up_of_another(self) -> None:
        desk = ScriptedDesk(never_answer)
        daemon = await self.start(desk)
        caller, other = await self.caller(), await self.caller()
        caller.send(invite())
        sent = await desk.until("INVITE")
        for message, status in ((invite(), 482), (sip_request("BYE"), 481)):
            other.send(message)
            self.assertEqual((await other.next()).status, status)
        other.send(sip_request("CANCEL"))
        other.send(sip_request("OPTIONS", "t"))
        self.assertEqual((await other.next()).status, 200)
        self.assertEqual(len(daemon.front.calls), 1)
        await ScriptedDesk().script(desk.peers[0], sent)
        self.assertEqual((await caller.until(200)).body, SDP)

    async def test_invalid_call_parameters_are_refused_before_the_module_gets_them(self) -> None:
        pools = {"Extra": RAW["Extra"] | {"SkilledPools": [[0], [0]]}}
        daemon = await self.start(ScriptedDesk(), settings=pools)
        caller = await self.caller()
        good = invite()
        changes = [
            ("X-Legs", legs)
            for legs in (
                "dest:nan;width:1;via:-1",
                "dest:0;width:inf",
                "dest:99;width:1",
                "dest:-3;width:1",
                "dest:0;width:0",
                "dest:0;width:400",
                "dest:0;width:-1",
                "dest:0;via:1e300",
                "dest:0.5",
                "x",
                "",
            )
        ]
        changes += [("X-Timer-Ms", timer) for timer in ("9" * 23, "-5", "soon", "", "nan", "9001")]
        changes += [("Call-ID", "short"), ("Call-ID", "0" * 15 + "\xe9")]
        for name, value in changes:
            headers = [(key, value if key == name else old) for key, old in good.headers]
            caller.send(Message("INVITE", good.uri, headers=headers, body=good.body))
            self.assertEqual((await caller.next()).status, 400, (name, value))
        for uri, body in (("sip:a b@net".replace(" ", "%20"), b""), ("sip:@net", b""), (good.uri, b"x" * 15800)):
            caller.send(Message("INVITE", uri, headers=good.headers, body=body))
            self.assertEqual((await caller.next()).status, 400, uri)
        self.assertEqual(daemon.agent.accepted, 0)

    async def test_a_request_that_cannot_be_answered_ends_its_connection(self) -> None:
        await self.start(ScriptedDesk())
        caller = await self.caller()
        headers = [one for one in invite().headers if one[0] != "Call-ID"]
        caller.send(Message("INVITE", "sip:1@net", headers=headers))
        with self.assertRaises(EOFError):
            await caller.next()
