"""Tests of the SIP and load report parsers: fragmented, malformed, truncated and arbitrary input."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.protocol.framing import Framer, find_byes
from seamlb.protocol.report import parse_figures, parse_load_report
from seamlb.protocol.sip import Message, SipError, parse_datagram, split_list

VALID_INVITE = (
    b"INVITE sip:7@net SIP/2.0\r\nv: SIP/2.0/TCP a;branch=z9hG4bK1,\r\n SIP/2.0/TCP b\r\ni: 1\r\n"
    b"CSeq: 1 INVITE\r\nl: 4\r\n\r\nab\r\n"
)
ARBITRARY_BYTES = st.one_of(
    st.binary(max_size=300),
    st.builds(
        lambda position, inserted: VALID_INVITE[:position] + inserted + VALID_INVITE[position:],
        st.integers(0, len(VALID_INVITE)),
        st.binary(max_size=12),
    ),
)


def parse(framer: Framer, data: bytes) -> list[Message | SipError]:
    framer.feed(data)
    return list(framer.messages())


class SipParserTest(unittest.TestCase):
    def test_fragments_folded_lines_compact_names_and_pipelined_messages(self) -> None:
        framer, messages = Framer(), list[Message | SipError]()
        for position in range(len(VALID_INVITE)):
            messages += parse(framer, VALID_INVITE[position : position + 1])
        messages += parse(framer, b"\r\n\r\n" + VALID_INVITE + VALID_INVITE)
        self.assertEqual([message.body for message in messages if isinstance(message, Message)], [b"ab\r\n"] * 3)
        self.assertEqual(len(messages[0].get_all("via")), 2)
        self.assertEqual(messages[0].get("call-id"), "1")

    def test_encoded_message_parses_to_an_equal_one(self) -> None:
        message = Message("BYE", "sip:x@net", headers=[("Call-ID", "a"), ("CSeq", "2 BYE")], body=b"\x00\xff")
        (parsed,) = parse(Framer(), message.encode())
        self.assertEqual(parsed, message)

    def test_split_list_ignores_commas_in_quotes_and_angle_brackets(self) -> None:
        self.assertEqual(split_list('"a, b" <sip:a,b@c>, <sip:d>'), ['"a, b" <sip:a,b@c>', "<sip:d>"])

    def test_conflicting_content_lengths_are_a_fatal_error(self) -> None:
        (error,) = parse(Framer(), VALID_INVITE.replace(b"l: 4", b"l: 4\r\nContent-Length: 5"))
        self.assertTrue(isinstance(error, SipError) and error.fatal and error.request_to_answer())

    def test_truncated_body_is_not_completed_with_the_next_message(self) -> None:
        body = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
        head = [("Call-ID", "1"), ("CSeq", "1 INVITE")]
        answer = Message(status=200, reason="OK", headers=head, body=body).encode()
        next_messages = (
            answer,
            Message(status=503, reason="Full", headers=head).encode(),
            Message("NOTIFY", "sip:exchange@net", headers=[("Call-ID", "2"), ("CSeq", "1 NOTIFY")]).encode(),
            Message("BYE", "sip:call@net", headers=[("Call-ID", "2"), ("CSeq", "1 BYE")]).encode(),
        )
        for next_message in next_messages:
            for missing in range(1, len(body)):
                framer, messages = Framer(strict=True), list[Message | SipError]()
                messages = parse(framer, answer[:-missing] + next_message + next_message)
                self.assertFalse(messages and isinstance(messages[0], Message), (missing, next_message))
            for cut in range(1, len(next_message)):  # complete messages pass, however the stream is fragmented
                framer = Framer(strict=True)
                messages = parse(framer, answer + next_message[:cut]) + parse(framer, next_message[cut:])
                self.assertTrue(
                    all(isinstance(message, Message) for message in messages) and len(messages) == 2,
                    (cut, next_message),
                )

    # Review case 2: the head of an answer that stopped short was completed with the next message, whose Call-ID and
    # body then had the status of the first: a 200 for a call that its server had refused.
    def test_truncated_head_is_not_completed_with_the_next_message(self) -> None:
        via, report = ("Via", "SIP/2.0/TCP peer"), ("X-Occupancy", "idle:4;circuits:5")
        own = [via, ("Call-ID", "1"), ("CSeq", "1 INVITE"), report]
        answer = Message(status=200, reason="OK", headers=own, body=b"1 at a desk\r\n").encode()
        others = (
            Message(status=200, reason="OK", headers=[via, ("Call-ID", "2"), ("CSeq", "1 INVITE")], body=b"2\r\n"),
            Message(status=503, headers=[via, ("Call-ID", "2"), ("CSeq", "1 INVITE")]),
            Message("NOTIFY", "sip:state@net", headers=[("Call-ID", "2"), ("CSeq", "1 NOTIFY")]),
            Message("OPTIONS", "sip:ping@net", headers=[("Call-ID", "2"), ("CSeq", "1 OPTIONS")]),
            Message("BYE", "sips:call@net", headers=[("Call-ID", "2"), ("CSeq", "1 BYE")]),
        )
        for size in range(1, len(answer)):
            for other in (message.encode() for message in others):
                framer, seen = Framer(strict=True), list[Message | SipError]()
                framer.feed_and_dispatch(answer[:size] + other + answer, seen.append, seen.append)
                self.assertEqual([type(one) for one in seen], [SipError], (answer[:size], other))
                found = [one.get("call-id") for one in find_byes(framer.unparsed)]
                self.assertEqual(found, ["2"] if other.startswith(b"BYE") else [], (answer[:size], other))
                messages = [one for one in parse(Framer(), answer[:size] + other) if isinstance(one, Message)]
                self.assertEqual(messages, [], (answer[:size], other))

    def test_malformed_message_of_a_strict_stream_is_left_to_the_search_for_byes(self) -> None:
        bye = Message("BYE", "sip:call@net", headers=[("Call-ID", "7"), ("CSeq", "1 BYE")]).encode()
        malformed = b"SIP/2.0 200 OK\r\nno colon\r\nContent-Length: 0\r\n\r\n"
        framer, seen = Framer(strict=True), list[Message | SipError]()
        framer.feed_and_dispatch(malformed + bye, seen.append, seen.append)
        self.assertEqual([isinstance(one, SipError) and one.fatal for one in seen], [True])
        self.assertEqual([one.get("call-id") for one in find_byes(framer.unparsed)], ["7"])

    def test_truncated_bye_is_not_completed_with_the_next_message(self) -> None:
        first, second = (Message("BYE", "sip:x@net", headers=[("Call-ID", ident)]).encode() for ident in "12")
        for size in range(1, len(first)):
            found = [message.get("call-id") for message in find_byes(first[:size] + second)]
            self.assertIn(found, (["2"], ["1", "2"]), first[:size])

    def test_byes_are_found_after_the_framing_is_lost(self) -> None:
        bye = Message("BYE", "sip:call@net", headers=[("Call-ID", "7"), ("CSeq", "1 BYE")]).encode()
        stream = b"v=0\r\nhalf a lin" + bye + b"SIP/2.0 200 OK\r\n\r\n" + bye[:20] + bye + bye[:-30]
        self.assertEqual([message.get("call-id") for message in find_byes(stream)], ["7", "7", "7"])
        for data in (
            b"",
            b"no start line\r\n\r\n",
            b"BYE sip:x@net SIP/2.0\r\nno colon\r\n\r\n",
            b"BYE sip:x@net SIP/2.0\r\nCall-ID: 12",
        ):
            self.assertEqual(find_byes(data), [])

    @settings(derandomize=True, deadline=None, max_examples=400)
    @given(ARBITRARY_BYTES)
    def test_arbitrary_bytes_raise_only_sip_errors(self, data: bytes) -> None:
        for message in parse(Framer(), data):
            self.assertIsInstance(message, (Message, SipError))
        try:
            parse_datagram(data)
        except SipError as error:
            error.request_to_answer()

    @settings(derandomize=True, deadline=None)
    @given(st.text(max_size=60))
    def test_load_report_of_arbitrary_text(self, text: str) -> None:
        self.assertIn(len(parse_load_report(text, ("a", "b"))), (0, 2))
        parse_figures(text)

    def test_load_report_values(self) -> None:
        values = parse_load_report("idle:3;x;avg_ms:nan;circuits:4.5", ("idle", "circuits", "avg_ms"))
        self.assertEqual(values, (3.0, 4.5, -1.0))
        self.assertEqual(parse_load_report("", ("idle",)), ())
