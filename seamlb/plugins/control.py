"""Control socket for an operator on the same machine: a JSON object per line, and a reply line for each.

A Unix socket with mode 0600. Line length, number of clients and idle time are bounded; no input, however malformed,
raises an exception beyond this module.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import stat
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from seamlb import log

MAX_LINE_BYTES = 64 << 10
MAX_CLIENTS = 32
IDLE_TIMEOUT_S = 30.0
END_WITHIN_S = 0.5  # for the tasks of its clients, at the end

Handler = Callable[[dict[str, Any]], Any]


class ControlSocket:
    """Serves `handle`; a KeyError, ValueError or TypeError that it raises becomes the error text of the reply."""

    def __init__(self, path: str, handle: Handler) -> None:
        self.path, self.handle = path, handle
        self.clients: set[asyncio.Task[None]] = set()
        self.server: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        """Bind; replaces a stale socket file. OSError if another process serves it or it is no socket."""
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.stat(self.path).st_mode):
                raise OSError(f"{self.path}: exists and is not a socket")
            try:
                _, writer = await asyncio.open_unix_connection(self.path)
            except ConnectionRefusedError:
                os.unlink(self.path)
            else:
                writer.close()
                raise OSError(f"{self.path}: in use by another process")
        old = os.umask(0o177)  # no access for other users at any time, not even during the bind
        try:
            self.server = await asyncio.start_unix_server(self._client, self.path, limit=MAX_LINE_BYTES)
        finally:
            os.umask(old)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self.clients) >= MAX_CLIENTS:
            writer.close()
            return
        self.clients.add(task)
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    line = await reader.readuntil(b"\n")
                writer.write(orjson.dumps(self._reply(line), default=str) + b"\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError, OSError):
            pass  # incomplete line, line too long, idle client, connection lost
        except asyncio.CancelledError:
            pass
        finally:
            self.clients.discard(task)
            writer.close()

    def _reply(self, line: bytes) -> dict[str, Any]:
        try:
            request = orjson.loads(line)
            if not isinstance(request, dict):
                raise ValueError("not an object")
            return {"ok": True, "answer": self.handle(request)}
        except (KeyError, ValueError, TypeError) as error:
            return {"ok": False, "error": str(error.args[0]) if error.args else repr(error)}
        except Exception as error:  # a bug in a command must not stop the daemon
            log.event("fault", where="control", error=repr(error), trace=log.trace(error))
            return {"ok": False, "error": "a fault; see the log"}

    async def close(self) -> None:
        """Stop listening, close open connections and remove the socket file."""
        if self.server is not None:
            self.server.close()
            for task in self.clients:
                task.cancel()
            if self.clients:
                await asyncio.wait(set(self.clients), timeout=END_WITHIN_S)
            with contextlib.suppress(OSError):
                Path(self.path).unlink()


def send_request(path: str, request: dict[str, Any], timeout: float = 10.0) -> dict[str, Any]:
    """Send a request to a daemon and wait up to `timeout` seconds for the reply; OSError if none arrives."""
    import socket

    with socket.socket(socket.AF_UNIX) as connection:
        connection.settimeout(timeout)
        connection.connect(path)
        connection.sendall(orjson.dumps(request) + b"\n")
        data = b""
        while not data.endswith(b"\n"):
            received = connection.recv(65536)
            if not received:
                raise ConnectionError("the daemon closed the connection")
            data += received
    reply: dict[str, Any] = orjson.loads(data)
    return reply
