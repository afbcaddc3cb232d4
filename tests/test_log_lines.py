"""Log lines by which an operator follows a call: through which connections it went, and how each attempt ended."""

from tests.loopback import DaemonTestCase, ScriptedDesk, bye, invite, refuse


class CallLines(DaemonTestCase):
    async def test_a_call_names_its_connections_and_attempts(self) -> None:
        full, good = ScriptedDesk(refuse(503)), ScriptedDesk()
        daemon = await self.start(full, good)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        good.peers[0].send(bye("00000000000000a1", 16))
        await self.eventually(lambda: self.events("call_end"))
        (line,) = self.events("call_end")
        self.assertEqual((line["desk"], line["attempts"]), ("d1", 2))
        self.assertEqual([(leg["desk"], leg["result"]) for leg in line["legs"]], [("d0", "full"), ("d1", "ok")])
        caller.close()
        await daemon.close()
        ended = {one["id"]: one["kind"] for one in self.events("connection_end")}
        self.assertEqual(ended[line["client"]], "client")
        self.assertEqual([ended[leg["connection"]] for leg in line["legs"]], ["desk", "desk"])
