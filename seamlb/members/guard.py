"""Which datagrams of other members are believed: key, clock and replay."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from seamlb.members.wire import SAY_EVERY, SENDERS, SKEW, WINDOW, Datagram, DatagramError, decode


@dataclass(slots=True)
class _Seen:
    """Which of one sender's datagrams have come."""

    last: int = -1
    late: set[int] = field(default_factory=set)  # counts below `last` that have come, within WINDOW


class Guard:
    """Signs what goes out and takes what comes in, once."""

    def __init__(self, keys: Mapping[int, bytes], sends: int, clock: float) -> None:
        self.count = int(clock * 1e6)  # above all that a process before this one has sent
        self.seen: dict[tuple[str, str], _Seen] = {}
        self.dropped: Counter[str] = Counter()
        self.said: dict[str, float] = {}
        self.news: list[str] = []  # reasons that are due to be logged
        self.rotate_keys(keys, sends)

    def rotate_keys(self, keys: Mapping[int, bytes], sends: int) -> None:
        """Other keys from now on: all of them are taken, one signs."""
        if sends not in keys:
            raise ValueError(f"no key {sends} to send with")
        self.keys, self.sends = dict(keys), sends

    def seal(self, message: Datagram, clock: float) -> bytes:
        """A message's bytes; `clock` is Unix seconds."""
        self.count += 1
        told = Datagram(
            message.kind,
            message.sender,
            message.incarnation,
            message.number,
            message.target,
            message.items,
            self.count,
            int(clock),
        )
        return told.encode(self.sends, self.keys[self.sends])

    def open(self, data: bytes, address: str, clock: float) -> Datagram | None:
        """A datagram that may be believed; None: it was counted and dropped."""
        try:
            message = decode(data, self.keys)
            if abs(clock - message.sent) > SKEW:
                raise DatagramError("clock")
            self._once(message, address)
            return message
        except DatagramError as bad:
            reason = str(bad)
            self.dropped[reason] += 1
            if clock - self.said.get(reason, -SAY_EVERY) >= SAY_EVERY:
                self.said[reason] = clock
                self.news.append(reason)
            return None

    def _once(self, message: Datagram, address: str) -> None:
        seen = self.seen.setdefault((message.sender, address), _Seen())
        while len(self.seen) > SENDERS:
            del self.seen[next(iter(self.seen))]
        count = message.count
        if count <= seen.last - WINDOW or count == seen.last or count in seen.late:
            raise DatagramError("replayed")
        if count > seen.last:
            seen.late = {one for one in (*seen.late, seen.last) if one > count - WINDOW}
            seen.last = count
        else:
            seen.late.add(count)
