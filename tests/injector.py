"""A fault injector on loopback: a TCP proxy between two processes that can be set to misbehave."""

from __future__ import annotations

import asyncio
import contextlib


class Injector:
    """Relays bytes between clients of `address` and `target`.

    `mode`: "pass"; "drop" (connections are accepted, but no bytes relayed); "refuse" (reset at once); "cut" (the
    response ends after `bytes_left` bytes); "deaf" (requests arrive, responses are lost). `delay`: seconds by which
    each chunk is delayed; `twice`: each request is sent a second time, on a separate connection.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.mode, self.delay, self.twice, self.bytes_left = "pass", 0.0, False, 10
        self.open: set[asyncio.StreamWriter] = set()
        self.passed = 0  # number of relayed connections

    async def start(self) -> str:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open.add(writer)
        host, _, port = self.target.rpartition(":")
        upstream: asyncio.StreamWriter | None = None
        try:
            if self.mode == "refuse":
                return writer.transport.abort()
            if self.mode == "drop":
                await asyncio.sleep(3600)
            upstream_reader, upstream = await asyncio.open_connection(host, int(port))
            self.open.add(upstream)
            self.passed += 1
            await asyncio.gather(self._pipe(reader, upstream, False), self._pipe(upstream_reader, writer, True))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for stream in (writer, upstream):
                if stream:
                    self.open.discard(stream)
                    stream.close()

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_response: bool) -> None:
        while data := await reader.read(65536):
            await asyncio.sleep(self.delay)
            if self.mode == "drop" or (is_response and self.mode == "deaf"):
                continue
            if is_response and self.mode == "cut":
                data = data[: self.bytes_left]
            if self.twice and not is_response:
                await self._send_duplicate(data)
            writer.write(data)
            if is_response and self.mode == "cut":
                break
        with contextlib.suppress(OSError):
            writer.write_eof()

    async def _send_duplicate(self, data: bytes) -> None:
        host, _, port = self.target.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        await reader.read()
        writer.close()

    async def stop(self) -> None:
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()
