"""Logs: one JSON line an event, on standard output."""

from __future__ import annotations

import contextlib
import os
import time
import traceback
from typing import Any

import orjson


def event(name: str, /, **facts: Any) -> None:
    """Write one line; a log nobody reads must not stop the calls."""
    record = {"t": round(time.time(), 3), "event": name, **facts}
    with contextlib.suppress(OSError):
        os.write(1, orjson.dumps(record, default=str, option=orjson.OPT_APPEND_NEWLINE))


def trace(error: BaseException) -> list[str]:
    """Where an exception came from, innermost last."""
    return [f"{at.filename}:{at.lineno} {at.name}" for at in traceback.extract_tb(error.__traceback__)[-6:]]
