"""Logs: one JSON line an event, on standard output."""

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
counts: Counter[str] = Counter()  # lines written, by event


@contextlib.contextmanager
def muted() -> Iterator[None]:
    """No lines meanwhile: the emulator hosts many agents whose logs nobody reads."""
    global _muted
    _muted += 1
    try:
        yield
    finally:
        _muted -= 1


def event(name: str, /, **facts: Any) -> None:
    """Write one line; a log nobody reads must not stop the calls."""
    if _muted:
        return
    counts[name] += 1
    record = {"t": round(time.time(), 3), "event": name, **facts}
    with contextlib.suppress(OSError):
        os.write(1, orjson.dumps(record, default=str, option=orjson.OPT_APPEND_NEWLINE))


def trace(error: BaseException) -> list[str]:
    """Where an exception came from, innermost last."""
    return [f"{at.filename}:{at.lineno} {at.name}" for at in traceback.extract_tb(error.__traceback__)[-6:]]


class Handler(logging.Handler):
    """Brings what libraries log into the same lines."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a library's log record as an event."""
        facts = (
            {"error": repr(record.exc_info[1]), "trace": trace(record.exc_info[1])}
            if (record.exc_info and record.exc_info[1])
            else {}
        )
        event("library", logger=record.name, level=record.levelname, text=record.getMessage(), **facts)
