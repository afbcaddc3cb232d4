"""The control socket's file: in use by another process, stale after a crash, or not a socket."""

import asyncio
import socket
import tempfile
import unittest
from pathlib import Path

from seamlb.plugins.control import ControlSocket


class SocketFileTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_socket_in_use_is_refused_and_a_stale_one_replaced(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = str(folder / "c.sock")
        first, second = (ControlSocket(path, lambda request: request) for _ in range(2))
        await first.start()
        with self.assertRaisesRegex(OSError, "in use by another process"):
            await second.start()
        assert first.server is not None
        first.server.close()  # like a crash: the file remains without a listener
        await asyncio.sleep(0)
        if not Path(path).exists():
            with socket.socket(socket.AF_UNIX) as stale:
                stale.bind(path)
        await second.start()
        await second.close()
        (folder / "c.sock").write_text("a file")
        with self.assertRaisesRegex(OSError, "is not a socket"):
            await first.start()
