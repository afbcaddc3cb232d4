"""An id that ran at the old process of an upgrade does not run at the new one; both are processes of their own."""

import asyncio
import json
import os
import signal
import socket
import tempfile
from pathlib import Path

from tests.loopback import HANG_TIMEOUT, Peer, ScriptedDesk, invite, never_answer
from tests.processes import ProcessTestCase
from tests.support import LONG_TARGETS, RAW

IDENT = "00000000000000a1"


class UpgradeIds(ProcessTestCase):
    async def start_on(self, listener: socket.socket, folder: Path) -> asyncio.subprocess.Process:
        fd = os.dup(listener.fileno())
        names = {"GW_CONFIG": str(folder / "c.json"), "GW_INHERITED_FD": str(fd), "TMPDIR": str(folder)}
        process = await self.start_process("-m", "seamlb", fds=(fd,), **names)
        os.close(fd)
        await self.wait_for_line(process, '"serving"')
        return process

    # Guards against picture (c) of issue 53: an id ran twice, at the other process of an upgrade.
    async def test_an_id_that_ran_at_the_old_process_is_refused_by_the_new_one(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        address = "{}:{}".format(*listener.getsockname())
        desk = ScriptedDesk(never_answer)
        member = {"id": "d0", "host_port": await desk.start(), "locality": "z", "flavor": "std", "cell": 0}
        member |= {"phase": "Ready", "size": 4, "up_since_ms": 0}
        known = {"rev": 1, "notices": [{"rev": 1, "pool": {"revision": 1, "complete": True, "members": [member]}}]}
        config = {"settings": RAW | LONG_TARGETS, "listen": address, "seed": "1", "known": known}
        (folder / "c.json").write_text(json.dumps(config))

        old = await self.start_on(listener, folder)
        caller = await Peer.connect(address)
        caller.send(invite(IDENT))
        await desk.until("INVITE")
        caller.close()
        await desk.until("CANCEL")
        await self.start_on(listener, folder)
        old.send_signal(signal.SIGTERM)
        await self.wait_for_line(old, '"ended"')
        again = await Peer.connect(address)
        again.send(invite(IDENT))
        self.assertEqual((await asyncio.wait_for(again.next(), HANG_TIMEOUT)).status, 482)
        again.close()
        await desk.stop()
