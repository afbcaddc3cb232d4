"""The SIP parser: pieces, limits, and whatever bytes may come."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.protocol.report import parse_figures, parse_report
from seamlb.protocol.sip import Framer, Message, SipError, parse_datagram, split_list

GOOD = (b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/TCP a;branch=z9hG4bK1,\r\n SIP/2.0/TCP b\r\ni: 1\r\n"
        b"CSeq: 1 INVITE\r\nl: 4\r\n\r\nab\r\n")
BYTES = st.one_of(st.binary(max_size=300), st.builds(
    lambda at, put: GOOD[:at] + put + GOOD[at:], st.integers(0, len(GOOD)), st.binary(max_size=12)))


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
        self.assertEqual(len(told[0].all("via")), 2)
        self.assertEqual(told[0].get("call-id"), "1")

    def test_what_is_written_is_read_back(self) -> None:
        message = Message("BYE", "sip:x@net", headers=[("Call-ID", "a"), ("CSeq", "2 BYE")], body=b"\x00\xff")
        (again,) = read(Framer(), message.encode())
        self.assertEqual(again, message)

    def test_lists_keep_quotes_and_angles(self) -> None:
        self.assertEqual(split_list('"a, b" <sip:a,b@c>, <sip:d>'), ['"a, b" <sip:a,b@c>', "<sip:d>"])

    def test_two_lengths_that_differ_end_the_stream(self) -> None:
        (error,) = read(Framer(), GOOD.replace(b"l: 4", b"l: 4\r\nContent-Length: 5"))
        self.assertTrue(isinstance(error, SipError) and error.lost and error.answerable())

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(BYTES)
    def test_no_bytes_raise_anything_else(self, data: bytes) -> None:
        for one in read(Framer(), data):
            self.assertIsInstance(one, (Message, SipError))
        try:
            parse_datagram(data)
        except SipError as error:
            error.answerable()

    @settings(derandomize=True, deadline=None)
    @given(st.text(max_size=60))
    def test_reports_of_any_text(self, text: str) -> None:
        self.assertIn(len(parse_report(text, ("a", "b"))), (0, 2))
        parse_figures(text)

    def test_reports(self) -> None:
        told = parse_report("idle:3;x;avg_ms:nan;circuits:4.5", ("idle", "circuits", "avg_ms"))
        self.assertEqual(told, (3.0, 4.5, -1.0))
        self.assertEqual(parse_report("", ("idle",)), ())
