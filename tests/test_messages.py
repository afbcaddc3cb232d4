"""The SIP parser: pieces, limits, and whatever bytes may come."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.protocol.report import parse_figures, parse_load_report
from seamlb.protocol.sip import Framer, Message, SipError, find_byes, parse_datagram, split_list

GOOD = (
    b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/TCP a;branch=z9hG4bK1,\r\n SIP/2.0/TCP b\r\ni: 1\r\n"
    b"CSeq: 1 INVITE\r\nl: 4\r\n\r\nab\r\n"
)
BYTES = st.one_of(
    st.binary(max_size=300),
    st.builds(lambda at, put: GOOD[:at] + put + GOOD[at:], st.integers(0, len(GOOD)), st.binary(max_size=12)),
)


def read(framer: Framer, data: bytes) -> list[Message | SipError]:
    framer.feed(data)
    return list(framer.messages())


class Messages(unittest.TestCase):
    def test_pieces_folds_compact_names_and_two_at_once(self) -> None:
        framer, told = Framer(), list[Message | SipError]()
        for place in range(len(GOOD)):
            told += read(framer, GOOD[place : place + 1])
        told += read(framer, b"\r\n\r\n" + GOOD + GOOD)
        self.assertEqual([one.body for one in told if isinstance(one, Message)], [b"ab\r\n"] * 3)
        self.assertEqual(len(told[0].get_all("via")), 2)
        self.assertEqual(told[0].get("call-id"), "1")

    def test_what_is_written_is_read_back(self) -> None:
        message = Message("BYE", "sip:x@net", headers=[("Call-ID", "a"), ("CSeq", "2 BYE")], body=b"\x00\xff")
        (again,) = read(Framer(), message.encode())
        self.assertEqual(again, message)

    def test_lists_keep_quotes_and_angles(self) -> None:
        self.assertEqual(split_list('"a, b" <sip:a,b@c>, <sip:d>'), ['"a, b" <sip:a,b@c>', "<sip:d>"])

    def test_two_lengths_that_differ_end_the_stream(self) -> None:
        (error,) = read(Framer(), GOOD.replace(b"l: 4", b"l: 4\r\nContent-Length: 5"))
        self.assertTrue(isinstance(error, SipError) and error.fatal and error.request_to_answer())

    def test_a_body_that_stopped_short_is_not_filled_up_with_what_follows(self) -> None:
        body = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        head = [("Call-ID", "1"), ("CSeq", "1 INVITE")]
        good = Message(status=200, reason="OK", headers=head, body=body).encode()
        others = (
            good,
            Message(status=503, reason="Full", headers=head).encode(),
            Message("NOTIFY", "sip:exchange@net", headers=[("Call-ID", "2"), ("CSeq", "1 NOTIFY")]).encode(),
            Message("BYE", "sip:call@net", headers=[("Call-ID", "2"), ("CSeq", "1 BYE")]).encode(),
        )
        for next_one in others:
            for missing in range(1, len(body)):
                framer, told = Framer(check_bodies=True), list[Message | SipError]()
                told = read(framer, good[:-missing] + next_one + next_one)
                self.assertFalse(told and isinstance(told[0], Message), (missing, next_one))
            for cut in range(1, len(next_one)):  # what is whole passes, wherever it is cut
                framer = Framer(check_bodies=True)
                told = read(framer, good + next_one[:cut]) + read(framer, next_one[cut:])
                self.assertTrue(all(isinstance(one, Message) for one in told) and len(told) == 2, (cut, next_one))

    def test_releases_are_found_where_the_framing_is_lost(self) -> None:
        bye = Message("BYE", "sip:call@net", headers=[("Call-ID", "7"), ("CSeq", "1 BYE")]).encode()
        cut = b"v=0\r\nhalf a lin" + bye + b"SIP/2.0 200 OK\r\n\r\n" + bye[:20] + bye + bye[:-30]
        self.assertEqual([one.get("call-id") for one in find_byes(cut)], ["7", "7", "7"])
        for data in (b"BYE sip:x@net SIP/2.0\r\nno colon\r\n\r\n", b"BYE sip:x@net SIP/2.0\r\nCall-ID: 12"):
            self.assertEqual(find_byes(data), [])

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(BYTES)
    def test_no_bytes_raise_anything_else(self, data: bytes) -> None:
        for one in read(Framer(), data):
            self.assertIsInstance(one, (Message, SipError))
        try:
            parse_datagram(data)
        except SipError as error:
            error.request_to_answer()

    @settings(derandomize=True, deadline=None)
    @given(st.text(max_size=60))
    def test_reports_of_any_text(self, text: str) -> None:
        self.assertIn(len(parse_load_report(text, ("a", "b"))), (0, 2))
        parse_figures(text)

    def test_reports(self) -> None:
        told = parse_load_report("idle:3;x;avg_ms:nan;circuits:4.5", ("idle", "circuits", "avg_ms"))
        self.assertEqual(told, (3.0, 4.5, -1.0))
        self.assertEqual(parse_load_report("", ("idle",)), ())
