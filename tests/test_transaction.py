"""Transactions and dialogs with a clock of the test's own: timers A to K, L and M."""

import unittest

from seamlb.protocol.dialog import AnswerRetransmitter, Dialog
from seamlb.protocol.sip import Message, response
from seamlb.protocol.transaction import (
    NEVER,
    Deliver,
    Failed,
    InviteClient,
    InviteServer,
    NonInviteClient,
    NonInviteServer,
    Send,
    State,
    client_key,
    server_key,
)


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


def run(machine, until: float) -> list[tuple[float, str]]:
    """Poll when due; when something was sent, and when it failed."""
    told = []
    while machine.due <= until:
        now = machine.due
        for effect in machine.poll(now):
            told.append((now, "failed" if isinstance(effect, Failed) else effect.message.method or "answer"))
    return told


class Clients(unittest.TestCase):
    def test_timers_a_and_b(self) -> None:
        machine = InviteClient(request(), reliable=False)
        machine.start(0.0)
        sent = run(machine, 100.0)
        self.assertEqual([at for at, what in sent if what == "INVITE"], [0.5, 1.5, 3.5, 7.5, 15.5, 31.5])
        self.assertEqual(sent[-1], (32.0, "failed"))
        self.assertTrue(machine.terminated)

    def test_nothing_is_resent_on_tcp_nor_after_a_provisional(self) -> None:
        tcp = InviteClient(request(), reliable=True)
        tcp.start(0.0)
        self.assertEqual(run(tcp, 100.0), [(32.0, "failed")])
        udp = InviteClient(request(), reliable=False)
        udp.start(0.0)
        udp.receive(response(request(), 180), 0.1)
        self.assertEqual(udp.due, NEVER)
        udp.cancel_sent(1.0)  # a desk that never answers the INVITE after our CANCEL
        self.assertEqual(run(udp, 100.0), [(33.0, "failed")])

    def test_a_refusal_is_acked_inside_the_transaction_and_told_once(self) -> None:
        machine = InviteClient(request(), reliable=False)
        machine.start(0.0)
        busy = response(request(), 486, tag="b")
        ack, told = machine.receive(busy, 0.1)
        self.assertEqual(ack.message.get("via"), request().get("via"))
        self.assertEqual((ack.message.get("to"), ack.message.get("cseq")), ("<sip:b@net>;tag=b", "1 ACK"))
        self.assertIsInstance(told, Deliver)
        self.assertEqual([type(one) for one in machine.receive(busy, 0.2)], [Send])
        self.assertEqual(run(machine, 32.0), [])
        self.assertEqual(machine.state, State.COMPLETED)
        run(machine, 32.1)  # timer D
        self.assertTrue(machine.terminated)

    def test_each_copy_of_an_answer_goes_up_until_timer_m(self) -> None:
        machine = InviteClient(request(), reliable=False)
        machine.start(0.0)
        for at in (0.1, 0.6, 1.6):
            self.assertEqual([type(one) for one in machine.receive(response(request(), 200), at)], [Deliver])
        run(machine, 32.1)
        self.assertTrue(machine.terminated)

    def test_timers_e_f_and_k(self) -> None:
        machine = NonInviteClient(request("BYE"), reliable=False)
        machine.start(0.0)
        sent = run(machine, 100.0)
        self.assertEqual([at for at, _ in sent[:5]], [0.5, 1.5, 3.5, 7.5, 11.5])
        self.assertEqual(sent[-1], (32.0, "failed"))
        machine = NonInviteClient(request("BYE"), reliable=False)
        machine.start(0.0)
        machine.receive(response(request("BYE"), 200), 1.0)
        self.assertEqual(machine.receive(response(request("BYE"), 200), 1.5), [])
        self.assertEqual(machine.due, 6.0)


class Servers(unittest.TestCase):
    def test_timers_g_h_and_i(self) -> None:
        machine = InviteServer(request(), reliable=False)
        machine.respond(response(request(), 503), 0.0)
        sent = run(machine, 100.0)
        self.assertEqual([at for at, _ in sent[:5]], [0.5, 1.5, 3.5, 7.5, 11.5])
        self.assertEqual(sent[-1], (32.0, "failed"))
        machine = InviteServer(request(), reliable=False)
        machine.respond(response(request(), 503), 0.0)
        self.assertEqual(machine.receive(request("ACK"), 0.2), [])
        self.assertEqual((machine.state, machine.due), (State.CONFIRMED, 5.2))

    def test_a_repeated_invite_gets_the_last_answer_and_no_second_final_one(self) -> None:
        machine = InviteServer(request(), reliable=False)
        trying, final = response(request(), 100), response(request(), 503)
        machine.respond(trying, 0.0)
        self.assertEqual(machine.receive(request(), 0.1), [Send(trying)])
        machine.respond(final, 0.2)
        self.assertEqual(machine.receive(request(), 0.3), [Send(final)])
        self.assertEqual(machine.respond(response(request(), 200), 0.4), [])

    def test_an_accepted_invite_absorbs_its_repeats_until_timer_l(self) -> None:
        machine = InviteServer(request(), reliable=True)
        machine.respond(response(request(), 200), 0.0)
        self.assertEqual(machine.receive(request(), 1.0), [])
        self.assertEqual([type(one) for one in machine.receive(request("ACK"), 1.0)], [Deliver])
        self.assertEqual(machine.due, 32.0)

    def test_timer_j(self) -> None:
        machine = NonInviteServer(request("BYE"), reliable=False)
        ok = response(request("BYE"), 200)
        machine.respond(ok, 0.0)
        self.assertEqual(machine.receive(request("BYE"), 31.0), [Send(ok)])
        run(machine, 32.0)
        self.assertTrue(machine.terminated)

    def test_keys(self) -> None:
        self.assertEqual(server_key(request()), server_key(request("ACK")))
        self.assertNotEqual(server_key(request()), server_key(request("CANCEL")))
        self.assertNotEqual(server_key(request()), server_key(request(branch="z9hG4bK2")))
        old, ack = request(branch="1"), request("ACK", branch="1", to="<sip:b@net>;tag=x")
        self.assertEqual(server_key(old), server_key(ack))  # RFC 2543: the branch tells nothing
        self.assertEqual(client_key(request()), client_key(response(request(), 200)))


class Dialogs(unittest.TestCase):
    def test_both_sides_have_one_key_and_routes_in_their_order(self) -> None:
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

    def test_a_strict_router_takes_the_place_of_the_target(self) -> None:
        dialog = Dialog("c", "<sip:a@net>;tag=a", "<sip:b@net>;tag=b", "sip:b@127.0.0.1", ["sip:old@127.0.0.1"])
        bye = dialog.build_request("BYE", "v")
        self.assertEqual((bye.uri, bye.get_all("route")), ("sip:old@127.0.0.1", ["<sip:b@127.0.0.1>"]))

    def test_order_of_cseq(self) -> None:
        dialog = Dialog.for_uas(request(), "b")
        late = request("BYE")
        late.headers = [(n, "0 BYE" if n == "CSeq" else v) for n, v in late.headers]
        self.assertFalse(dialog.accept_cseq(late))
        self.assertTrue(dialog.accept_cseq(request("BYE")))

    def test_an_answer_is_resent_at_growing_gaps_until_it_expires_or_is_acked(self) -> None:
        resender, sent = AnswerRetransmitter(response(request(), 200), 0.0), []
        while not resender.expired(resender.due):
            sent.append(resender.due)
            self.assertIsNotNone(resender.poll(resender.due))
        self.assertEqual(sent[:5], [0.5, 1.5, 3.5, 7.5, 11.5])
        self.assertEqual(resender.due, 32.0)
        resender.ack_received()
        self.assertFalse(resender.expired(99.0))
