"""Tests of SIP transactions with timers A to M, of dialogs and of 2xx retransmission, on simulated time (s)."""

import unittest

from seamlb.protocol.client_transaction import InviteClient, NonInviteClient
from seamlb.protocol.dialog import AnswerRetransmitter, Dialog
from seamlb.protocol.server_transaction import InviteServer, NonInviteServer
from seamlb.protocol.sip import Message, response
from seamlb.protocol.transaction import NEVER, Deliver, Failed, Send, State, client_key, server_key


def request(method: str = "INVITE", branch: str = "z9hG4bK1", to: str = "<sip:b@net>") -> Message:
    return Message(
        method,
        "sip:b@net",
        headers=[
            ("Via", f"SIP/2.0/UDP 127.0.0.1:5060;branch={branch}"),
            ("From", "<sip:a@net>;tag=a"),
            ("To", to),
            ("Call-ID", "c"),
            ("CSeq", f"1 {method}"),
            ("Max-Forwards", "70"),
            ("Contact", "<sip:a@127.0.0.1:5060>"),
        ],
    )


def run_timers(machine, until: float) -> list[tuple[float, str]]:
    """Polls whenever a timer is due; returns the time and kind of each transmission and failure."""
    events = []
    while machine.due <= until:
        now = machine.due
        for effect in machine.poll(now):
            events.append((now, "failed" if isinstance(effect, Failed) else effect.message.method or "answer"))
    return events


class ClientTransactionTest(unittest.TestCase):
    def test_timers_a_and_b(self) -> None:
        machine = InviteClient(request(), reliable=False)
        machine.start(0.0)
        sent = run_timers(machine, 100.0)
        self.assertEqual([at for at, kind in sent if kind == "INVITE"], [0.5, 1.5, 3.5, 7.5, 15.5, 31.5])
        self.assertEqual(sent[-1], (32.0, "failed"))
        self.assertTrue(machine.terminated)

    def test_invite_is_not_retransmitted_on_tcp_or_after_a_provisional_response(self) -> None:
        tcp = InviteClient(request(), reliable=True)
        tcp.start(0.0)
        self.assertEqual(run_timers(tcp, 100.0), [(32.0, "failed")])
        udp = InviteClient(request(), reliable=False)
        udp.start(0.0)
        udp.receive(response(request(), 180), 0.1)
        self.assertEqual(udp.due, NEVER)
        udp.cancel_sent(1.0)  # the desk never sends a final response after our CANCEL
        self.assertEqual(run_timers(udp, 100.0), [(33.0, "failed")])

    def test_error_response_is_acked_in_the_transaction_and_delivered_once(self) -> None:
        machine = InviteClient(request(), reliable=False)
        machine.start(0.0)
        busy = response(request(), 486, tag="b")
        ack, delivery = machine.receive(busy, 0.1)
        self.assertEqual(ack.message.get("via"), request().get("via"))
        self.assertEqual((ack.message.get("to"), ack.message.get("cseq")), ("<sip:b@net>;tag=b", "1 ACK"))
        self.assertIsInstance(delivery, Deliver)
        self.assertEqual([type(effect) for effect in machine.receive(busy, 0.2)], [Send])
        self.assertEqual(run_timers(machine, 32.0), [])
        self.assertEqual(machine.state, State.COMPLETED)
        run_timers(machine, 32.1)  # timer D
        self.assertTrue(machine.terminated)

    def test_every_2xx_retransmission_is_delivered_until_timer_m(self) -> None:
        machine = InviteClient(request(), reliable=False)
        machine.start(0.0)
        for at in (0.1, 0.6, 1.6):
            self.assertEqual([type(effect) for effect in machine.receive(response(request(), 200), at)], [Deliver])
        run_timers(machine, 32.1)
        self.assertTrue(machine.terminated)

    def test_timers_e_f_and_k(self) -> None:
        machine = NonInviteClient(request("BYE"), reliable=False)
        machine.start(0.0)
        sent = run_timers(machine, 100.0)
        self.assertEqual([at for at, _ in sent[:5]], [0.5, 1.5, 3.5, 7.5, 11.5])
        self.assertEqual(sent[-1], (32.0, "failed"))
        machine = NonInviteClient(request("BYE"), reliable=False)
        machine.start(0.0)
        machine.receive(response(request("BYE"), 200), 1.0)
        self.assertEqual(machine.receive(response(request("BYE"), 200), 1.5), [])
        self.assertEqual(machine.due, 6.0)


class ServerTransactionTest(unittest.TestCase):
    def test_timers_g_h_and_i(self) -> None:
        machine = InviteServer(reliable=False)
        machine.respond(response(request(), 503), 0.0)
        sent = run_timers(machine, 100.0)
        self.assertEqual([at for at, _ in sent[:5]], [0.5, 1.5, 3.5, 7.5, 11.5])
        self.assertEqual(sent[-1], (32.0, "failed"))
        machine = InviteServer(reliable=False)
        machine.respond(response(request(), 503), 0.0)
        self.assertEqual(machine.receive(request("ACK"), 0.2), [])
        self.assertEqual((machine.state, machine.due), (State.CONFIRMED, 5.2))

    def test_retransmitted_invite_gets_the_last_response_and_no_second_final_one(self) -> None:
        machine = InviteServer(reliable=False)
        trying, final = response(request(), 100), response(request(), 503)
        machine.respond(trying, 0.0)
        self.assertEqual(machine.receive(request(), 0.1), [Send(trying)])
        machine.respond(final, 0.2)
        self.assertEqual(machine.receive(request(), 0.3), [Send(final)])
        self.assertEqual(machine.respond(response(request(), 200), 0.4), [])

    def test_accepted_invite_absorbs_retransmissions_until_timer_l(self) -> None:
        machine = InviteServer(reliable=True)
        machine.respond(response(request(), 200), 0.0)
        self.assertEqual(machine.receive(request(), 1.0), [])
        self.assertEqual([type(effect) for effect in machine.receive(request("ACK"), 1.0)], [Deliver])
        self.assertEqual(machine.due, 32.0)

    def test_timer_j(self) -> None:
        machine = NonInviteServer(reliable=False)
        ok = response(request("BYE"), 200)
        machine.respond(ok, 0.0)
        self.assertEqual(machine.receive(request("BYE"), 31.0), [Send(ok)])
        run_timers(machine, 32.0)
        self.assertTrue(machine.terminated)

    def test_transaction_keys(self) -> None:
        self.assertEqual(server_key(request()), server_key(request("ACK")))
        self.assertNotEqual(server_key(request()), server_key(request("CANCEL")))
        self.assertNotEqual(server_key(request()), server_key(request(branch="z9hG4bK2")))
        rfc2543_invite, ack = request(branch="1"), request("ACK", branch="1", to="<sip:b@net>;tag=x")
        self.assertEqual(server_key(rfc2543_invite), server_key(ack))  # RFC 2543: the branch is not unique
        self.assertEqual(client_key(request()), client_key(response(request(), 200)))


class DialogTest(unittest.TestCase):
    def test_both_sides_have_mirrored_keys_and_reversed_routes(self) -> None:
        invite = request()
        invite.headers += [("Record-Route", "<sip:p1@127.0.0.1;lr>, <sip:p2@127.0.0.1;lr>")]
        answer = response(invite, 200, ("Contact", "<sip:b@127.0.0.1:5070>"), tag="b")
        answer.headers += [("Record-Route", value) for value in invite.get_all("record-route")]
        server, client = Dialog.for_uas(invite, "b"), Dialog.for_uac(invite, answer)
        self.assertEqual(server.key, ("c", "b", "a"))
        self.assertEqual(client.key, ("c", "a", "b"))
        self.assertEqual(server.routes, list(reversed(client.routes)))
        bye = client.build_request("BYE", "SIP/2.0/UDP x;branch=z9hG4bK9")
        self.assertEqual((bye.uri, bye.cseq()), ("sip:b@127.0.0.1:5070", (2, "BYE")))
        self.assertEqual(bye.get_all("route")[0], "<sip:p2@127.0.0.1;lr>")

    def test_strict_route_replaces_the_request_uri(self) -> None:
        dialog = Dialog("c", "<sip:a@net>;tag=a", "<sip:b@net>;tag=b", "sip:b@127.0.0.1", ["sip:old@127.0.0.1"])
        bye = dialog.build_request("BYE", "v")
        self.assertEqual((bye.uri, bye.get_all("route")), ("sip:old@127.0.0.1", ["<sip:b@127.0.0.1>"]))

    def test_out_of_order_cseq_is_rejected(self) -> None:
        dialog = Dialog.for_uas(request(), "b")
        stale = request("BYE")
        stale.headers = [(name, "0 BYE" if name == "CSeq" else value) for name, value in stale.headers]
        self.assertFalse(dialog.accept_cseq(stale))
        self.assertTrue(dialog.accept_cseq(request("BYE")))

    def test_2xx_is_retransmitted_at_growing_intervals_until_expiry_or_ack(self) -> None:
        retransmitter, sent = AnswerRetransmitter(response(request(), 200), 0.0), []
        while not retransmitter.expired(retransmitter.due):
            sent.append(retransmitter.due)
            self.assertIsNotNone(retransmitter.poll(retransmitter.due))
        self.assertEqual(sent[:5], [0.5, 1.5, 3.5, 7.5, 11.5])
        self.assertEqual(retransmitter.due, 32.0)
        retransmitter.ack_received()
        self.assertFalse(retransmitter.expired(99.0))
