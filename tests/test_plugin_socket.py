"""The control socket's file: in use, left behind by a crash, or no socket."""

import asyncio
import socket
import tempfile
import unittest
from pathlib import Path

from seamlb.plugins.control import ControlSocket


class Socket(unittest.IsolatedAsyncioTestCase):
    async def test_a_socket_in_use_is_refused_and_a_left_one_taken_over(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        path = str(folder / "c.sock")
        one, other = (ControlSocket(path, lambda asked: asked) for _ in range(2))
        await one.start()
        with self.assertRaisesRegex(OSError, "another process serves it"):
            await other.start()
        assert one.server is not None
        one.server.close()  # as a crash leaves it: the file stays, nobody serves it
        await asyncio.sleep(0)
        if not Path(path).exists():
            with socket.socket(socket.AF_UNIX) as left:
                left.bind(path)
        await other.start()
        await other.close()
        (folder / "c.sock").write_text("a file")
        with self.assertRaisesRegex(OSError, "is no socket"):
            await one.start()
