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


class ServerLines(DaemonTestCase):
    async def test_each_change_of_what_is_believed_of_a_server_leaves_one_line_and_shows_in_the_stats(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        self.assertEqual(daemon.stats()["servers"]["d0"]["state"], "reachable")
        self.assertEqual(self.events("server_state"), [])  # nothing has changed
        await desk.stop()
        await caller.until("BYE")
        (line,) = self.events("server_state")
        self.assertEqual((line["desk"], line["state"], line["why"], line["calls_cut"]), ("d0", "gone", "refused", 1))
        stats = daemon.stats()
        self.assertEqual((stats["servers"]["d0"]["state"], stats["calls_cut"]), ("gone", {"refused": 1}))
        self.assertGreaterEqual(stats["longest_lateness_ms"], 0.0)
        self.assertIsNone(stats["list_age_s"])
