"""Logs: one JSON line per event, on standard output."""

from __future__ import annotations

import contextlib
import logging
import os
import time
import traceback
from collections import Counter
from collections.abc import Iterator
from typing import Any

import orjson

_muted = 0
counts: Counter[str] = Counter()  # lines written, by event name


@contextlib.contextmanager
def muted() -> Iterator[None]:
    """Suppress all lines in a block, for the emulator, which runs many agents."""
    global _muted
    _muted += 1
    try:
        yield
    finally:
        _muted -= 1


def event(name: str, /, **fields: Any) -> None:
    """Write one line; a failing write, as to a closed pipe, must not affect calls."""
    if _muted:
        return
    counts[name] += 1
    record = {"t": round(time.time(), 3), "event": name, **fields}
    with contextlib.suppress(OSError):
        os.write(1, orjson.dumps(record, default=str, option=orjson.OPT_APPEND_NEWLINE))


def trace(error: BaseException) -> list[str]:
    """The last frames of an exception's traceback, innermost last."""
    return [
        f"{frame.filename}:{frame.lineno} {frame.name}" for frame in traceback.extract_tb(error.__traceback__)[-6:]
    ]


class Handler(logging.Handler):
    """Writes the log records of libraries as events."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record."""
        fields = (
            {"error": repr(record.exc_info[1]), "trace": trace(record.exc_info[1])}
            if (record.exc_info and record.exc_info[1])
            else {}
        )
        event("library", logger=record.name, level=record.levelname, text=record.getMessage(), **fields)
