"""Management API over HTTP/1.1, one request per connection: reads statistics and controls the lifecycle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

import orjson

from seamlb import log
from seamlb.lifecycle import Lifecycle
from seamlb.net.close_reason import CloseReason
from seamlb.net.connection import Connection
from seamlb.net.listener import Listener
from seamlb.protocol.http import HttpError, Request, RequestReader, encode_response

MAX_CONNECTIONS = 32  # at the limit, the one that has waited longest without a complete request is closed
REQUEST_TIMEOUT = 5.0  # seconds from accept to a complete request


Handler = Callable[[Request], bytes]


class HttpServer:
    """Serves HTTP requests on one address; `routes` maps each path to its method and handler."""

    def __init__(
        self,
        kind: str,
        address: str,
        routes: Mapping[str, tuple[str, Handler]],
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.kind = kind
        self.address = address
        self.routes = dict(routes)
        self.listener = Listener(kind, max_connections, self._serve)

    def start(self) -> None:
        """Start listening."""
        self.listener.bind_and_listen(self.address)

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.listener.stop()
        for connection in list(self.listener.connections):
            connection.flush_and_close(CloseReason.SHUTDOWN)

    async def _serve(self, connection: Connection) -> None:
        reader = RequestReader()
        connection.message_timeout = REQUEST_TIMEOUT

        def received(data: bytes) -> None:
            try:
                request = reader.feed(data)
                reply = self._respond(request) if request else b""
            except HttpError as error:
                log.event("malformed", kind=self.kind, peer=connection.peer, error=str(error))
                reply = json_response(error.status, error=str(error))
            if reply:
                connection.send(reply)
                connection.lingering_close(CloseReason.ANSWERED)  # a plain close would reset it if more data arrives

        await connection.run(received)

    def _respond(self, request: Request) -> bytes:
        method, handler = self.routes.get(request.path, ("", None))
        if handler is None:
            return json_response(404, error="unknown path")
        if request.method != method:
            return encode_response(405, b"", ("Allow", method))
        return handler(request)


class ManagementFront(HttpServer):
    """The management address of an agent; `tables` adds GET paths with statistics, `commands` adds POST paths."""

    def __init__(
        self,
        address: str,
        lifecycle: Lifecycle,
        stats: Callable[[], Mapping[str, Any]],
        tables: Mapping[str, Callable[[], Mapping[str, Any]]] | None = None,
        commands: Mapping[str, Callable[[str], str]] | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        super().__init__(
            "management",
            address,
            {
                "/admin/health": ("GET", self._health),
                "/admin/stats": ("GET", _stats_handler(stats)),
                "/admin/quiesce": ("POST", self._quiesce),
                "/admin/resume": ("POST", self._resume),
            },
            max_connections,
        )
        self.lifecycle = lifecycle
        for path, table in (tables or {}).items():
            self.routes[path] = ("GET", _stats_handler(table))
        for path, execute in (commands or {}).items():
            self.routes[path] = ("POST", _command_handler(path, execute))

    def _health(self, request: Request) -> bytes:
        return json_response(200 if self.lifecycle.ready else 503, phase=self.lifecycle.phase)

    def _quiesce(self, request: Request) -> bytes:
        return self._lifecycle_response("quiesce", self.lifecycle.quiesce(asyncio.get_running_loop().time()))

    def _resume(self, request: Request) -> bytes:
        return self._lifecycle_response("resume", self.lifecycle.resume(asyncio.get_running_loop().time()))

    def _lifecycle_response(self, call: str, done: bool) -> bytes:
        log.event("operator", call=call, done=done, phase=self.lifecycle.phase)
        return json_response(200 if done else 409, phase=self.lifecycle.phase)


def _stats_handler(stats: Callable[[], Mapping[str, Any]]) -> Handler:
    """Return a handler that responds with the current statistics as JSON."""
    return lambda request: json_response(200, **stats())


def _command_handler(path: str, execute: Callable[[str], str]) -> Handler:
    """Return a handler that executes the request body; if `execute` returns an error it responds 409 with that."""

    def handle(request: Request) -> bytes:
        asked = request.body.decode("utf-8", "replace")
        error = execute(asked)
        log.event("operator", call=path, asked=asked[:80], done=not error)
        return json_response(409, asked=asked[:80], error=error) if error else json_response(200, asked=asked[:80])

    return handle


def json_response(status: int, **facts: Any) -> bytes:
    """Return a response with a JSON object."""
    return encode_response(status, orjson.dumps(facts, option=orjson.OPT_APPEND_NEWLINE))
