"""Datagrams between members."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from seamlb.members.guard import Guard
from seamlb.members.wire import MOST, SKEW, WINDOW, Datagram, DatagramError, Item, Kind, Status, decode
from tests.gossip import KEY, VirtualNetwork


class Wire(unittest.TestCase):
    message = Datagram(
        Kind.ACK,
        "alpha",
        1234567890123,
        7,
        "béta",
        (Item("gamma", "10.1.2.3:7946", 99, Status.SUSPECT, 3, b"meta"), Item("d", "127.0.0.1:1", 1, Status.LEFT)),
    )

    def test_there_and_back(self) -> None:
        guard = Guard(KEY, 1, 1000.0)
        data = guard.seal(self.message, 1000.9)
        found = Guard(KEY, 1, 0.0).open(data, "a", 1001.0)
        assert found
        self.assertEqual(
            (found.kind, found.sender, found.incarnation, found.number, found.target, found.items),
            (Kind.ACK, "alpha", 1234567890123, 7, "béta", self.message.items),
        )
        self.assertEqual(decode(data, None).items, self.message.items)  # as the command line reads it, without keys

    def test_a_datagram_cut_or_changed_anywhere_is_dropped(self) -> None:
        data = Guard(KEY, 1, 1000.0).seal(self.message, 1000.0)
        for at in range(len(data)):
            for bad in (data[:at], data[:at] + bytes([data[at] ^ 0x40]) + data[at + 1 :]):
                guard = Guard(KEY, 1, 0.0)
                self.assertIsNone(guard.open(bad, "a", 1000.0), (at, bad))
                self.assertEqual(guard.dropped.total(), 1)

    @settings(max_examples=300, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes_are_read_or_refused(self, data: bytes) -> None:
        for keys in (KEY, None):
            try:
                decode(data, keys)
            except DatagramError:
                continue

    def test_what_is_not_taken_is_counted_and_said_once_a_window(self) -> None:
        ours, theirs = Guard(KEY, 1, 1000.0), Guard({9: b"x" * 32}, 9, 1000.0)
        guard = Guard(KEY, 1, 0.0)
        good = ours.seal(self.message, 1000.0)
        self.assertIsNotNone(guard.open(good, "a", 1000.0))
        for data, clock in (
            (good, 1000.0),
            (theirs.seal(self.message, 1000.0), 1000.0),
            (b"x" * 65000, 1000.0),
            (ours.seal(self.message, 1000.0), 1001.0 + SKEW),
            (good, 1000.0),
        ):
            self.assertIsNone(guard.open(data, "a", clock))
        self.assertEqual(guard.dropped, {"replayed": 2, "unknown key": 1, "too long": 1, "clock": 1})
        self.assertEqual(sorted(guard.news), ["clock", "replayed", "too long", "unknown key"])

    def test_datagrams_may_overtake_each_other_within_the_window_and_none_is_taken_twice(self) -> None:
        ours, guard, rng = Guard(KEY, 1, 1000.0), Guard(KEY, 1, 0.0), random.Random(3)
        sent = [ours.seal(self.message, 1000.0) for _ in range(200)]
        order = sorted(range(200), key=lambda n: n + rng.random() * (WINDOW - 2))
        self.assertTrue(all(guard.open(sent[n], "a", 1000.0) for n in order))
        self.assertFalse(any(guard.open(sent[n], "a", 1000.0) for n in order))
        again = Guard(KEY, 1, 1000.5)  # started anew half a second later: its first is above all before
        self.assertTrue(guard.open(again.seal(self.message, 1000.5), "a", 1000.5))

    def test_keys_are_rotated_without_a_gap(self) -> None:
        both = {1: b"k" * 32, 2: b"n" * 32}
        first, second = Guard(KEY, 1, 1000.0), Guard(KEY, 1, 1000.0)

        def heard(by: Guard, of: Guard) -> bool:
            return by.open(of.seal(self.message, 1000.0), "a", 1000.0) is not None

        for one, keys, sends in (
            (first, both, 1),
            (second, both, 1),
            (first, both, 2),
            (second, both, 2),
            (first, {2: both[2]}, 2),
            (second, {2: both[2]}, 2),
        ):
            one.rotate_keys(keys, sends)
            self.assertTrue(heard(first, second) and heard(second, first))
        behind = Guard(KEY, 1, 1000.0)  # left behind: told apart, not believed
        self.assertFalse(heard(first, behind))
        self.assertEqual(first.dropped["unknown key"], 1)
        with self.assertRaises(ValueError):
            first.rotate_keys({1: b""}, 2)

    def test_no_message_is_ever_too_long(self) -> None:
        net = VirtualNetwork(40)
        net.run(30.0)
        self.assertLessEqual(max(len(data) for *_, data in net.queue), MOST)
