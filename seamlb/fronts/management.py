"""Operators' calls over HTTP/1.1, one to a connection: they read what others know, and tell the lifecycle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from seamlb import log
from seamlb.lifecycle import Lifecycle
from seamlb.net.connection import Connection
from seamlb.net.listener import Listener
from seamlb.net.reason import CloseReason
from seamlb.protocol.http import HttpError, Request, RequestReader, encode_response

MAX_CONNECTIONS = 32  # connections at a time; with more the one that has waited longest without a whole call goes
CALL_WITHIN = 5.0  # seconds from accept for a whole call


Call = Callable[[Request], bytes]


class HttpServer:
    """Listens on an address for calls: by path their method, and what answers them."""

    def __init__(
        self, kind: str, address: str, calls: Mapping[str, tuple[str, Call]], most: int = MAX_CONNECTIONS
    ) -> None:
        self.kind = kind
        self.address = address
        self.calls = dict(calls)
        self.listener = Listener(kind, most, self._serve)

    def start(self) -> None:
        """Listen."""
        self.listener.bind_and_listen(self.address)

    def close(self) -> None:
        """Stop listening and end what is open."""
        self.listener.stop()
        for connection in list(self.listener.connections):
            connection.flush_and_close(CloseReason.SHUTDOWN)

    async def _serve(self, connection: Connection) -> None:
        reader = RequestReader()
        connection.message_within = CALL_WITHIN

        def received(data: bytes) -> None:
            try:
                request = reader.feed(data)
                told = self._answer(request) if request else b""
            except HttpError as error:
                log.event("malformed", kind=self.kind, peer=connection.peer, error=str(error))
                told = json_response(error.status, error=str(error))
            if told:
                connection.send(told)
                connection.lingering_close(CloseReason.ANSWERED)  # a plain close would break off what still comes

        await connection.run(received)

    def _answer(self, request: Request) -> bytes:
        method, call = self.calls.get(request.path, ("", None))
        if call is None:
            return json_response(404, error="unknown path")
        if request.method != method:
            return encode_response(405, b"", ("Allow", method))
        return call(request)


class ManagementFront(HttpServer):
    """The second address of an agent; `more`: figures that were switched on, `orders`: what may be asked, by path."""

    def __init__(
        self,
        address: str,
        lifecycle: Lifecycle,
        figures: Callable[[], Mapping[str, Any]],
        more: Mapping[str, Callable[[], Mapping[str, Any]]] | None = None,
        orders: Mapping[str, Callable[[str], str]] | None = None,
        most: int = MAX_CONNECTIONS,
    ) -> None:
        super().__init__(
            "management",
            address,
            {
                "/admin/health": ("GET", self._health),
                "/admin/stats": ("GET", _showing(figures)),
                "/admin/quiesce": ("POST", self._quiesce),
                "/admin/resume": ("POST", self._resume),
            },
            most,
        )
        self.lifecycle = lifecycle
        for path, told in (more or {}).items():
            self.calls[path] = ("GET", _showing(told))
        for path, done in (orders or {}).items():
            self.calls[path] = ("POST", _ordering(path, done))

    def _health(self, request: Request) -> bytes:
        return json_response(200 if self.lifecycle.ready else 503, phase=self.lifecycle.phase)

    def _quiesce(self, request: Request) -> bytes:
        return self._told("quiesce", self.lifecycle.quiesce(asyncio.get_running_loop().time()))

    def _resume(self, request: Request) -> bytes:
        return self._told("resume", self.lifecycle.resume(asyncio.get_running_loop().time()))

    def _told(self, call: str, done: bool) -> bytes:
        log.event("operator", call=call, done=done, phase=self.lifecycle.phase)
        return json_response(200 if done else 409, phase=self.lifecycle.phase)


def _showing(figures: Callable[[], Mapping[str, Any]]) -> Call:
    """A call that answers with these figures."""
    return lambda request: json_response(200, **figures())


def _ordering(path: str, done: Callable[[str], str]) -> Call:
    """A call whose body is given to whoever does it; 409 with the reason if that is not to be done."""

    def call(request: Request) -> bytes:
        asked = request.body.decode("utf-8", "replace")
        why = done(asked)
        log.event("operator", call=path, asked=asked[:80], done=not why)
        return json_response(409, asked=asked[:80], error=why) if why else json_response(200, asked=asked[:80])

    return call


def json_response(status: int, **facts: Any) -> bytes:
    """An answer with a JSON object."""
    return encode_response(status, orjson.dumps(facts, option=orjson.OPT_APPEND_NEWLINE))
