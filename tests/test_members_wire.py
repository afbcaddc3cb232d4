"""Encoding and authentication of the datagrams between members."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.members.authentication import DatagramAuthenticator
from seamlb.members.wire import (
    MAX_CLOCK_SKEW_S,
    MAX_DATAGRAM_BYTES,
    REPLAY_WINDOW,
    Datagram,
    DatagramError,
    Kind,
    Record,
    Status,
    decode,
)
from tests.virtual_network import KEY, VirtualNetwork


class Wire(unittest.TestCase):
    message = Datagram(
        Kind.ACK,
        "alpha",
        1234567890123,
        7,
        "béta",
        (
            Record("gamma", "10.1.2.3:7946", 99, Status.SUSPECT, 3, b"meta"),
            Record("d", "127.0.0.1:1", 1, Status.LEFT),
        ),
    )

    def test_round_trip(self) -> None:
        sender = DatagramAuthenticator(KEY, 1, 1000.0)
        data = sender.seal(self.message, 1000.9)
        opened = DatagramAuthenticator(KEY, 1, 0.0).open(data, "a", 1001.0)
        assert opened
        self.assertEqual(
            (opened.kind, opened.sender, opened.incarnation, opened.sequence, opened.target, opened.records),
            (Kind.ACK, "alpha", 1234567890123, 7, "béta", self.message.records),
        )
        # Without keys, as `seamlb members decode` reads it.
        self.assertEqual(decode(data, None).records, self.message.records)

    def test_datagram_truncated_or_changed_at_any_byte_is_dropped(self) -> None:
        data = DatagramAuthenticator(KEY, 1, 1000.0).seal(self.message, 1000.0)
        for at in range(len(data)):
            for bad in (data[:at], data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :]):
                receiver = DatagramAuthenticator(KEY, 1, 0.0)
                self.assertIsNone(receiver.open(bad, "a", 1000.0), (at, bad))
                self.assertEqual(receiver.dropped.total(), 1)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_are_decoded_or_raise_datagram_error(self, data: bytes) -> None:
        for keys in (KEY, None):
            try:
                decode(data, keys)
            except DatagramError:
                continue

    def test_drops_are_counted_by_reason_and_each_reason_is_logged_once_per_interval(self) -> None:
        sender, stranger = DatagramAuthenticator(KEY, 1, 1000.0), DatagramAuthenticator({9: b"x" * 32}, 9, 1000.0)
        receiver = DatagramAuthenticator(KEY, 1, 0.0)
        good = sender.seal(self.message, 1000.0)
        self.assertIsNotNone(receiver.open(good, "a", 1000.0))
        for data, clock in (
            (good, 1000.0),
            (stranger.seal(self.message, 1000.0), 1000.0),
            (b"x" * 65000, 1000.0),
            (sender.seal(self.message, 1000.0), 1001.0 + MAX_CLOCK_SKEW_S),
            (good, 1000.0),
        ):
            self.assertIsNone(receiver.open(data, "a", clock))
        self.assertEqual(receiver.dropped, {"replayed": 2, "unknown key": 1, "too long": 1, "clock": 1})
        self.assertEqual(sorted(receiver.unlogged_reasons), ["clock", "replayed", "too long", "unknown key"])

    def test_datagrams_reordered_within_the_window_are_accepted_exactly_once(self) -> None:
        sender, receiver, rng = (
            DatagramAuthenticator(KEY, 1, 1000.0),
            DatagramAuthenticator(KEY, 1, 0.0),
            random.Random(3),
        )
        sent = [sender.seal(self.message, 1000.0) for _ in range(200)]
        order = sorted(range(200), key=lambda n: n + rng.random() * (REPLAY_WINDOW - 2))
        self.assertTrue(all(receiver.open(sent[n], "a", 1000.0) for n in order))
        self.assertFalse(any(receiver.open(sent[n], "a", 1000.0) for n in order))
        # A process restarted half a second later: its counter starts above all earlier ones.
        restarted = DatagramAuthenticator(KEY, 1, 1000.5)
        self.assertTrue(receiver.open(restarted.seal(self.message, 1000.5), "a", 1000.5))

    def test_key_rotation_loses_no_datagram(self) -> None:
        both = {1: b"k" * 32, 2: b"n" * 32}
        first, second = DatagramAuthenticator(KEY, 1, 1000.0), DatagramAuthenticator(KEY, 1, 1000.0)

        def accepts(receiver: DatagramAuthenticator, sender: DatagramAuthenticator) -> bool:
            return receiver.open(sender.seal(self.message, 1000.0), "a", 1000.0) is not None

        for one, keys, signing_key in (
            (first, both, 1),
            (second, both, 1),
            (first, both, 2),
            (second, both, 2),
            (first, {2: both[2]}, 2),
            (second, {2: both[2]}, 2),
        ):
            one.rotate_keys(keys, signing_key)
            self.assertTrue(accepts(first, second) and accepts(second, first))
        outdated = DatagramAuthenticator(KEY, 1, 1000.0)  # without the new key
        self.assertFalse(accepts(first, outdated))
        self.assertEqual(first.dropped["unknown key"], 1)
        with self.assertRaises(ValueError):
            first.rotate_keys({1: b""}, 2)

    def test_no_message_exceeds_the_maximum_size(self) -> None:
        net = VirtualNetwork(40)
        net.run(30.0)
        self.assertLessEqual(max(len(data) for *_, data in net.queue), MAX_DATAGRAM_BYTES)
