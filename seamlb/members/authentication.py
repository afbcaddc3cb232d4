"""Authentication of datagrams between members: signing key, clock skew and replay."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from seamlb.members.wire import (
    LOG_INTERVAL_S,
    MAX_CLOCK_SKEW_S,
    MAX_TRACKED_SENDERS,
    REPLAY_WINDOW,
    Datagram,
    DatagramError,
    decode,
)


@dataclass(slots=True)
class _ReplayWindow:
    """Which of one sender's datagrams have been received."""

    highest: int = -1
    lower: set[int] = field(default_factory=set)  # received counters below `highest`, within REPLAY_WINDOW


class DatagramAuthenticator:
    """Signs outgoing datagrams; verifies incoming ones and accepts each of them once."""

    def __init__(self, keys: Mapping[int, bytes], signing_key: int, clock: float) -> None:
        self.counter = int(clock * 1e6)  # Unix us of the start: above all counters of an earlier process
        self.windows: dict[tuple[str, str], _ReplayWindow] = {}  # by sender and address
        self.dropped: Counter[str] = Counter()
        self.last_logged: dict[str, float] = {}
        self.unlogged_reasons: list[str] = []  # drop reasons that are due for a log line
        self.rotate_keys(keys, signing_key)

    def rotate_keys(self, keys: Mapping[int, bytes], signing_key: int) -> None:
        """Replace the keys: all of them are accepted, `signing_key` signs."""
        if signing_key not in keys:
            raise ValueError(f"no key {signing_key} to sign with")
        self.keys, self.signing_key = dict(keys), signing_key

    def seal(self, message: Datagram, clock: float) -> bytes:
        """Add counter and time (`clock`, Unix seconds) to a message and return its signed bytes."""
        self.counter += 1
        stamped = Datagram(
            message.kind,
            message.sender,
            message.incarnation,
            message.sequence,
            message.target,
            message.records,
            self.counter,
            int(clock),
        )
        return stamped.encode(self.signing_key, self.keys[self.signing_key])

    def open(self, data: bytes, address: str, clock: float) -> Datagram | None:
        """Verify and decode a datagram from `address`; None if it was dropped, which is counted by reason."""
        try:
            message = decode(data, self.keys)
            if abs(clock - message.sent_at) > MAX_CLOCK_SKEW_S:
                raise DatagramError("clock")
            self._reject_replay(message, address)
            return message
        except DatagramError as error:
            reason = str(error)
            self.dropped[reason] += 1
            if clock - self.last_logged.get(reason, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
                self.last_logged[reason] = clock
                self.unlogged_reasons.append(reason)
            return None

    def _reject_replay(self, message: Datagram, address: str) -> None:
        window = self.windows.setdefault((message.sender, address), _ReplayWindow())
        while len(self.windows) > MAX_TRACKED_SENDERS:
            del self.windows[next(iter(self.windows))]
        counter = message.counter
        if counter <= window.highest - REPLAY_WINDOW or counter == window.highest or counter in window.lower:
            raise DatagramError("replayed")
        if counter > window.highest:
            window.lower = {one for one in (*window.lower, window.highest) if one > counter - REPLAY_WINDOW}
            window.highest = counter
        else:
            window.lower.add(counter)
