"""The SIP front and the SIP desk client over loopback, against scripted RFC 3261 peers."""

import asyncio

from seamlb.protocol.sip import Message, parameter
from tests.loopback import SDP, Peer
from tests.sip_peers import SipCaller, SipTestCase
from tests.udp_peer import UdpPeer

# Responses that make the module pause its attempts come last.
MIX = ("ok1", "486", "480", "504", "500", "ok2", "ok3", "503", "slow")


class BothTransports(SipTestCase):
    async def outcomes(self, transport: str) -> list[tuple[int, bytes, str]]:
        """Return status, body and result of each call of the mix."""
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, transport)
        results = []
        for number in MIX:
            timer = [("X-Timer-Ms", "60")] if number == "slow" else []
            answer = await caller.invite(number, *timer)
            if answer.status == 200:
                caller.peer.send(caller.build("BYE"))
                self.assertEqual((await caller.peer.until(200)).cseq()[1], "BYE")
            await self.eventually(lambda: len(self.events("call_end")) > len(results))
            results.append((answer.status, answer.body, self.events("call_end")[-1]["result"]))
        self.logged.clear()
        return results

    async def test_the_same_mix_of_calls_has_the_same_outcomes_on_udp_and_tcp(self) -> None:
        udp, tcp = await self.outcomes("udp"), await self.outcomes("tcp")
        self.assertEqual(udp, tcp)
        self.assertEqual([status for status, _, _ in udp], [200, 503, 503, 503, 503, 200, 200, 503, 503])
        self.assertEqual(udp[0], (200, SDP, "released"))

    async def test_a_desk_over_tcp_has_the_same_outcomes_as_over_udp(self) -> None:
        daemon = await self.start_sip("tcp")
        caller = await self.sip_caller(daemon, "udp")
        self.assertEqual((await caller.invite("ok")).body, SDP)
        self.assertEqual((await caller.invite("drop")).status, 503)  # lost before the answer


class Invites(SipTestCase):
    async def test_a_retransmitted_invite_is_never_a_second_attempt(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "udp")
        caller.renew()
        caller.sent = caller.build("INVITE", number="slow")
        for _ in range(3):
            caller.peer.send(caller.sent)
            self.assertEqual((await caller.peer.next()).status, 100)
        await self.eventually(lambda: self.sip_desk.invites)
        self.assertEqual((daemon.agent.accepted, len(self.sip_desk.invites)), (1, 1))
        merged = caller.build("INVITE", number="slow", seq=caller.seq, branch="z9hG4bKother")
        merged.headers = [(n, f"{caller.seq - 1} INVITE" if n == "CSeq" else v) for n, v in merged.headers]
        caller.peer.send(merged)
        self.assertEqual((await caller.peer.until(482)).status, 482)

    async def test_a_cancel_gets_487_and_cancels_the_attempt(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "udp")
        caller.renew()
        caller.sent = caller.build("INVITE", number="slow")
        caller.peer.send(caller.sent)
        await self.eventually(lambda: any(leg.provisional for leg in daemon.desks.legs.values()))
        caller.peer.send(caller.build("CANCEL", number="slow"))
        self.assertEqual((await caller.peer.until(200)).cseq()[1], "CANCEL")
        self.assertEqual((await caller.final()).status, 487)
        await self.eventually(lambda: "CANCEL" in self.sip_desk.methods())
        await self.eventually(lambda: self.sip_desk.methods().count("ACK") == 1)
        caller.peer.send(caller.build("CANCEL", number="slow", branch="z9hG4bKnone"))
        self.assertEqual((await caller.peer.until(481)).status, 481)

    async def test_an_answer_that_crosses_the_cancel_is_acked_and_released_but_not_passed_on(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "udp")
        self.assertEqual((await caller.invite("late", ("X-Timer-Ms", "1000"))).status, 503)
        await self.eventually(lambda: "CANCEL" in self.sip_desk.methods())
        self.sip_desk.accept(next(iter(self.sip_desk.invites.values())))
        await self.eventually(lambda: {"ACK", "BYE"} <= set(self.sip_desk.methods()))

    async def test_the_answer_is_resent_until_its_ack(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "tcp")
        caller.renew()
        caller.sent = caller.build("INVITE")
        caller.peer.send(caller.sent)
        first = await caller.peer.until(200)
        again = await caller.peer.until(200)
        self.assertEqual(first.encode(), again.encode())
        caller.ack(again)
        (call,) = daemon.sip.dialogs.values()
        await self.eventually(lambda: call.timer is None)

    async def test_a_refusal_has_retry_after(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "udp")
        answer = await caller.invite("503")
        self.assertIn(answer.get("retry-after"), ("1", "2"))  # 0.5 to 1.5 s, whole seconds rounded up
        self.assertTrue(parameter(answer.get("to"), "tag"))


class Dialogs(SipTestCase):
    async def test_a_release_by_the_desk_reaches_the_caller_after_its_ack(self) -> None:
        daemon = await self.start_sip()
        for transport in ("udp", "tcp"):
            caller = await self.sip_caller(daemon, transport)
            await caller.invite("ok")
            self.sip_desk.bye(list(self.sip_desk.invites)[-1])
            bye = await caller.peer.until("BYE")
            self.assertEqual((bye.get("call-id"), parameter(bye.get("to"), "tag")), (caller.call, caller.tag))

    async def test_after_its_connection_closed_a_caller_gets_the_answer_once_where_it_listens(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "tcp")
        listener = await SipListener.start()
        caller.address = listener.address
        caller.renew()
        caller.peer.send(caller.build("INVITE", number="late"))
        await self.eventually(lambda: self.sip_desk.invites)
        caller.peer.close()
        await self.eventually(lambda: self.events("connection_end"))
        self.sip_desk.accept(next(iter(self.sip_desk.invites.values())))
        await self.eventually(lambda: listener.received)
        self.assertEqual(listener.received[0].status, 200)
        caller.peer = listener.peer
        caller.ack(listener.received[0])
        (call,) = daemon.sip.dialogs.values()
        await self.eventually(lambda: call.timer is None)
        self.assertEqual([one.status for one in listener.received], [200])
        caller.peer.send(caller.build("BYE"))
        await self.eventually(lambda: self.events("call_end"))
        self.assertEqual(self.events("call_end")[0]["result"], "released")

    async def test_an_answer_that_cannot_reach_its_caller_releases_the_call_at_the_desk(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "tcp")
        caller.renew()
        caller.peer.send(caller.build("INVITE", number="late"))  # its Via names no listener
        await self.eventually(lambda: self.sip_desk.invites)
        caller.peer.close()
        await self.eventually(lambda: self.events("connection_end"))
        self.sip_desk.accept(next(iter(self.sip_desk.invites.values())))
        await self.eventually(lambda: "BYE" in self.sip_desk.methods())
        await self.eventually(lambda: self.events("call_end"))
        self.assertEqual((len(daemon.sip.dialogs), len(daemon.agent.sessions)), (0, 0))

    async def test_a_host_name_in_a_contact_is_not_resolved(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "udp")
        real_address, caller.address = caller.address, "phone.example"
        await caller.invite("ok")
        self.sip_desk.bye(list(self.sip_desk.invites)[-1])
        await caller.peer.until("BYE")  # sent to the address that the call came from
        self.assertNotEqual(real_address, caller.address)

    async def test_requests_outside_a_dialog_or_out_of_order_are_refused(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "udp")
        await caller.invite("ok")
        caller.peer.send(caller.build("INVITE", seq=9))
        self.assertEqual((await caller.final()).status, 488)
        caller.peer.send(caller.build("BYE", seq=3))
        self.assertEqual((await caller.peer.until(500)).status, 500)
        caller.peer.send(caller.build("BYE", seq=10))
        await caller.peer.until(200)
        caller.peer.send(caller.build("BYE", seq=11))
        self.assertEqual((await caller.peer.until(481)).status, 481)


class BadRequests(SipTestCase):
    async def test_each_bad_request_gets_its_status(self) -> None:
        daemon = await self.start_sip()
        for transport in ("udp", "tcp"):
            caller = await self.sip_caller(daemon, transport)
            for status, message in (
                (405, caller.build("PUBLISH")),
                (420, caller.build("OPTIONS", ("Require", "rel9"))),
                (483, self.no_hops_left(caller)),
                (400, caller.build("INVITE", ("X-Cos", "nobody"))),
                (400, caller.build("INVITE", ("X-Timer-Ms", "soon"))),
                (481, caller.build("BYE")),
                (200, caller.build("OPTIONS")),
            ):
                caller.renew()
                caller.peer.send(message)
                answer = await caller.peer.until(status)
                self.assertEqual(answer.status, status)
                if status in (405, 420):
                    self.assertTrue(answer.get("allow") or answer.get("unsupported") == "rel9")
            via = f"SIP/2.0/UDP {caller.address};rport"
            caller.peer.send(
                f"INVITE sip:x SIP/2.0\r\nVia: {via}\r\nCall-ID: x\r\nCSeq: 1 BYE\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            self.assertEqual((await caller.peer.until(400)).status, 400)
        self.assertEqual(daemon.agent.accepted, 0)
        self.assertEqual(self.events("fault"), [])

    @staticmethod
    def no_hops_left(caller: SipCaller) -> Message:
        message = caller.build("INVITE")
        message.headers = [(n, "0" if n == "Max-Forwards" else v) for n, v in message.headers]
        return message

    async def test_noise_on_udp_is_dropped_and_logged(self) -> None:
        daemon = await self.start_sip()
        caller = await self.sip_caller(daemon, "udp")
        assert isinstance(caller.peer, UdpPeer)
        for noise in (b"\x00\xff" * 50, b"A" * 17000, b"SIP/2.0 99 no\r\n\r\n"):
            caller.peer.send(noise)
        self.assertEqual((await caller.invite("ok")).status, 200)
        self.assertEqual(len(self.events("malformed")), 3)


class SipListener:
    """A TCP listener on which a caller accepts connections."""

    received: list[Message]
    peer: Peer
    address: str

    @classmethod
    async def start(cls) -> "SipListener":
        self = cls()
        self.received = []

        async def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.peer = Peer(reader, writer)
            try:
                while True:
                    self.received.append(await self.peer.next())
            except (EOFError, OSError, asyncio.CancelledError):
                writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self.address = "{}:{}".format(*server.sockets[0].getsockname())
        return self
