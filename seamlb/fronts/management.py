"""Operators' calls over HTTP/1.1, one to a connection: they read what others know, and tell the lifecycle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from seamlb import log
from seamlb.lifecycle import Lifecycle
from seamlb.net.connection import Connection, Listener
from seamlb.net.reason import CloseReason
from seamlb.protocol.http import HttpError, Request, RequestReader, answer

MOST = 32  # connections at a time; with more the one that has waited longest without a whole call goes
CALL_WITHIN = 5.0  # seconds from accept for a whole call


class ManagementFront:
    """Listens on the second address."""

    def __init__(self, address: str, lifecycle: Lifecycle, figures: Callable[[], Mapping[str, Any]]) -> None:
        self.address = address
        self.lifecycle = lifecycle
        self.figures = figures
        self.listener = Listener("management", MOST, self._serve)
        self.calls = {
            "/admin/health": ("GET", self._health),
            "/admin/stats": ("GET", self._stats),
            "/admin/quiesce": ("POST", self._quiesce),
            "/admin/resume": ("POST", self._resume),
        }

    def start(self) -> None:
        self.listener.start_at(self.address)

    def close(self) -> None:
        self.listener.stop()
        for connection in list(self.listener.open):
            connection.finish(CloseReason.SHUTDOWN)

    async def _serve(self, connection: Connection) -> None:
        reader = RequestReader()
        connection.message_within = CALL_WITHIN

        def received(data: bytes) -> None:
            try:
                request = reader.feed(data)
                told = self._answer(request) if request else b""
            except HttpError as error:
                log.event("malformed", kind="management", peer=connection.peer, error=str(error))
                told = _text(error.status, error=str(error))
            if told:
                connection.send(told)
                connection.refuse(CloseReason.ANSWERED)  # a plain close would break off what still comes

        await connection.run(received)

    def _answer(self, request: Request) -> bytes:
        method, call = self.calls.get(request.path, ("", None))
        if call is None:
            return _text(404, error="unknown path")
        if request.method != method:
            return answer(405, b"", ("Allow", method))
        return call()

    # -- the calls ----------------------------------------------------------------------------

    def _health(self) -> bytes:
        return _text(200 if self.lifecycle.ready else 503, phase=self.lifecycle.phase)

    def _stats(self) -> bytes:
        return _text(200, **self.figures())

    def _quiesce(self) -> bytes:
        return self._told("quiesce", self.lifecycle.quiesce(asyncio.get_running_loop().time()))

    def _resume(self) -> bytes:
        return self._told("resume", self.lifecycle.resume(asyncio.get_running_loop().time()))

    def _told(self, call: str, done: bool) -> bytes:
        log.event("operator", call=call, done=done, phase=self.lifecycle.phase)
        return _text(200 if done else 409, phase=self.lifecycle.phase)


def _text(status: int, **facts: Any) -> bytes:
    return answer(status, orjson.dumps(facts, option=orjson.OPT_APPEND_NEWLINE))
