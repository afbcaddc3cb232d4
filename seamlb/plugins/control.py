"""The control socket: one JSON object a line, one answer a line, for an operator on this machine.

A Unix socket with mode 0600. A line is bounded and so is a client's silence; nothing that comes raises past it.
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

MOST_LINE = 64 << 10
MOST_CLIENTS = 32
IDLE = 30.0  # seconds that a client may say nothing

Handle = Callable[[dict[str, Any]], Any]


class ControlSocket:
    """Serves `handle`, whose KeyError, ValueError or TypeError is the client's one-line answer."""

    def __init__(self, path: str, handle: Handle) -> None:
        self.path, self.handle = path, handle
        self.clients: set[asyncio.Task[None]] = set()
        self.server: asyncio.AbstractServer | None = None

    async def start(self) -> None:
        """Bind; a socket that nobody serves any more is taken over, one in use is an OSError."""
        with contextlib.suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.stat(self.path).st_mode):
                raise OSError(f"{self.path}: is there and is no socket")
            try:
                _, writer = await asyncio.open_unix_connection(self.path)
            except ConnectionRefusedError:
                os.unlink(self.path)
            else:
                writer.close()
                raise OSError(f"{self.path}: another process serves it")
        old = os.umask(0o177)  # never open to others, not even while it is being bound
        try:
            self.server = await asyncio.start_unix_server(self._client, self.path, limit=MOST_LINE)
        finally:
            os.umask(old)

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        if len(self.clients) >= MOST_CLIENTS:
            writer.close()
            return
        self.clients.add(task)
        try:
            while line := await asyncio.wait_for(reader.readuntil(b"\n"), IDLE):
                writer.write(orjson.dumps(self._answer(line), default=str) + b"\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError, OSError):
            pass  # half a line, a line without an end, silence, gone
        except asyncio.CancelledError:
            pass
        finally:
            self.clients.discard(task)
            writer.close()

    def _answer(self, line: bytes) -> dict[str, Any]:
        try:
            asked = orjson.loads(line)
            if not isinstance(asked, dict):
                raise ValueError("not an object")
            return {"ok": True, "answer": self.handle(asked)}
        except (KeyError, ValueError, TypeError) as error:
            return {"ok": False, "error": str(error.args[0]) if error.args else repr(error)}
        except Exception as error:  # a fault in a command must not end the daemon
            log.event("fault", where="control", error=repr(error), trace=log.trace(error))
            return {"ok": False, "error": "a fault; see the log"}

    async def close(self) -> None:
        """Stop listening and end what is open."""
        if self.server is not None:
            self.server.close()
            for task in list(self.clients):
                task.cancel()
            await asyncio.gather(*self.clients, return_exceptions=True)
            with contextlib.suppress(OSError):
                Path(self.path).unlink()


def ask(path: str, question: dict[str, Any], timeout: float = 10.0) -> dict[str, Any]:
    """Ask a daemon and wait for its answer; OSError if nobody answers."""
    import socket

    with socket.socket(socket.AF_UNIX) as one:
        one.settimeout(timeout)
        one.connect(path)
        one.sendall(orjson.dumps(question) + b"\n")
        data = b""
        while not data.endswith(b"\n"):
            more = one.recv(65536)
            if not more:
                raise ConnectionError("the daemon closed the connection")
            data += more
    answer: dict[str, Any] = orjson.loads(data)
    return answer
