"""Management requests over HTTP, and their effect on caller connections."""

import asyncio
import json
from typing import Any
from unittest import mock

from seamlb import api, lifecycle, log
from seamlb.config import Overrides
from seamlb.daemon import UPDATE_INTERVAL_S
from seamlb.fronts import management
from seamlb.protocol.http import ResponseReader
from tests.loopback import HANG_TIMEOUT, Peer, ScriptedDesk, bye, config, invite, never_answer, refuse, sip_request
from tests.sip_peers import SipTestCase
from tests.support import RAW


class ManagementRequests(SipTestCase):
    async def serve(self, *desks: ScriptedDesk, **change: Any) -> Any:
        daemon = await self.start(*desks, management="127.0.0.1:0", **change)
        daemon.management.start()
        self.management_address = f"127.0.0.1:{daemon.management.listener.port}"
        daemon._every(UPDATE_INTERVAL_S, "lifecycle", daemon.update_connections)
        return daemon

    async def raw(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(*self.management_address.split(":"))
        writer.write(data)
        response = await asyncio.wait_for(reader.read(), HANG_TIMEOUT)
        writer.close()
        return response

    async def call(self, method: str, path: str) -> tuple[int, Any]:
        response = ResponseReader().feed(await self.raw(f"{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode()))
        assert response and not response.keep_alive
        return response.status, json.loads(response.body) if response.body else None

    async def test_measures_are_available_if_enabled_and_agree_with_the_stats(self) -> None:
        daemon = await self.serve(ScriptedDesk())
        self.assertEqual((await self.call("GET", "/admin/measures"))[0], 404)
        self.assertIsNone(daemon.agent.measure)
        await daemon.close()
        with mock.patch("tests.loopback.config", lambda **change: config(**change, told=Overrides(measures=True))):
            daemon = await self.serve(ScriptedDesk(), ScriptedDesk(refuse(486)))
        caller = await self.caller()
        for number, dest in enumerate((0, 0, 1)):
            caller.send(invite(f"{number:016x}", dest=dest))
            self.assertIn((await caller.next()).status, (200, 500, 503))
        caller.send(invite(f"{9:016x}", call_class="b"))
        daemon.agent.max_open = 0
        caller.send(invite(f"{10:016x}", call_class="b"))
        await self.eventually(lambda: daemon.agent.counters.throttled["b"])
        stats, measures = [(await self.call("GET", f"/admin/{name}"))[1] for name in ("stats", "measures")]
        for class_name, counts in measures["counts"].items():
            for result in ("fulfilled", "throttled", "faulted"):
                self.assertEqual(counts.get(result, 0), stats[result][class_name], (class_name, result))
        self.assertGreaterEqual(stats["fulfilled"]["a"], 2)
        self.assertEqual(sum(measures["answer_ms"]["a"].values()), stats["fulfilled"]["a"])
        self.assertEqual(measures["faults"], log.counts["fault"] + log.counts["drain_late"])

    async def test_quiesce_drains_the_agent_and_resume_restores_it(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.serve(desk)
        self.assertEqual(await self.call("GET", "/admin/health"), (200, {"phase": "ready"}))
        idle, busy = await self.caller(), await self.caller()
        idle.send(sip_request("OPTIONS", "t"))
        await idle.until(200)
        busy.send(invite())
        await busy.until(200)
        with mock.patch.multiple(lifecycle, SETTLE_S=0.0, QUIET_S=0.0, ANY_PAUSE_AFTER_S=0.0):
            self.assertEqual((await self.call("POST", "/admin/quiesce"))[0], 200)
            self.assertEqual(await self.call("GET", "/admin/health"), (503, {"phase": "quiescing"}))
            with self.assertRaises(EOFError):
                await idle.next()
            # The load balancer in front has not noticed yet: the call is served.
            late = await Peer.connect_and_send(self.address, invite("00000000000000a2"))
            self.addCleanup(late.close)
            await late.until(200)
            desk.peers[0].send(bye("00000000000000a1", 16))
            await busy.until("BYE")  # its connection stayed open for this release, and is closed after it
            with self.assertRaises(EOFError):
                await busy.next()
        self.assertEqual(
            [one["reason"] for one in self.events("connection_end") if one["kind"] == "client"],
            ["quiesced", "quiesced"],
        )
        self.assertEqual(await self.call("POST", "/admin/resume"), (200, {"phase": "ready"}))
        again = await self.caller()
        again.send(sip_request("OPTIONS", "t"))
        await again.until(200)
        self.assertEqual(len(daemon.front.clients), 2)

    async def test_set_ups_on_a_connection_that_is_never_idle_are_refused_with_retry_after(self) -> None:
        desk = ScriptedDesk(never_answer)
        await self.serve(desk)
        busy = await self.caller()
        busy.send(invite())
        await desk.until("INVITE")
        with mock.patch.multiple(lifecycle, SETTLE_S=0.0, ANY_PAUSE_AFTER_S=0.0, REFUSE_AFTER_S=0.0):
            await self.call("POST", "/admin/quiesce")
            busy.send(invite("00000000000000a2"))
            answer = await busy.until(503)
            self.assertEqual((answer.get("call-id"), answer.get("retry-after")), ("00000000000000a2", "1"))
            busy.send(sip_request("CANCEL"))
            with self.assertRaises(EOFError):
                await busy.next()

    async def test_a_partial_message_keeps_its_connection_until_it_is_complete(self) -> None:
        daemon = await self.serve(ScriptedDesk())
        caller = await self.caller()
        caller.send(sip_request("OPTIONS", "t"))
        await caller.until(200)
        data = invite().encode()
        caller.send(data[:40])
        (client,) = daemon.front.clients
        await self.eventually(lambda: client.framer.data)
        with mock.patch.multiple(lifecycle, SETTLE_S=0.0, QUIET_S=0.0, ANY_PAUSE_AFTER_S=0.0):
            await self.call("POST", "/admin/quiesce")
            daemon.update_connections()
            caller.send(data[40:])
            self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a1")

    async def test_a_quiesced_process_can_reload_and_drain(self) -> None:
        daemon = await self.serve(ScriptedDesk())
        daemon.reread = lambda: (daemon.config, daemon.plugins)
        await self.call("POST", "/admin/quiesce")
        daemon.reload()
        self.assertEqual((await self.stats())["cfg_accepted"], 1)
        self.assertEqual((await self.call("POST", "/admin/quiesce"))[0], 200)
        daemon.lifecycle.terminate(0.0)
        self.assertEqual((await self.call("POST", "/admin/quiesce"))[0], 409)

    async def test_attempts_over_sip_are_counted(self) -> None:
        for transport in ("udp", "tcp"):
            with self.subTest(transport=transport):
                daemon = await self.start_sip(transport)
                caller = await self.sip_caller(daemon, transport)
                for number in ("ok", "503"):
                    await caller.invite(number)
                stats = daemon.stats()
                self.assertEqual((stats["fulfilled"]["a"], stats["throttled"]["a"], stats["relayed"]), (1, 1, 2))

    async def test_invalid_requests_get_errors_and_a_drain_cannot_be_resumed(self) -> None:
        daemon = await self.serve(ScriptedDesk())
        self.assertEqual((await self.call("GET", "/admin/nothing"))[0], 404)
        self.assertIn(b"Allow: POST\r\n", await self.raw(b"GET /admin/resume HTTP/1.1\r\n\r\n"))
        self.assertTrue((await self.raw(b"what\r\n\r\n")).startswith(b"HTTP/1.1 400 "))
        daemon.lifecycle.terminate(0.0)
        self.assertEqual(await self.call("POST", "/admin/resume"), (409, {"phase": "draining"}))

    async def test_clients_without_a_complete_request_do_not_block_others(self) -> None:
        with mock.patch.object(management, "MAX_CONNECTIONS", 3):
            daemon = await self.serve(ScriptedDesk())
        incomplete = [await Peer.connect(self.management_address) for _ in range(5)]
        for peer in incomplete:
            peer.send(b"GET /admin/hea")
            self.addCleanup(peer.close)
        self.assertEqual((await self.call("GET", "/admin/health"))[0], 200)
        self.assertLessEqual(len(daemon.management.listener.connections), 3)

    async def test_stopping_the_listener_does_not_make_later_set_ups_seem_old(self) -> None:
        """With a shared socket, the timer that measures the event loop lag stopped together with the listener."""
        daemon = await self.serve(ScriptedDesk())
        daemon.front.listener.stop()
        daemon.lifecycle.shared = True
        daemon.lifecycle.terminate(asyncio.get_running_loop().time())
        daemon.front.apply_lifecycle(asyncio.get_running_loop().time())
        due = daemon.front.lag.due
        await self.eventually(lambda: daemon.front.lag.due > due)

    async def test_the_stats_match_what_callers_and_desks_saw(self) -> None:
        accepting, full = ScriptedDesk(), ScriptedDesk(refuse(503, ("X-Diagnosis", "atb")))
        daemon = await self.serve(accepting, full, settings={"Limits": RAW["Limits"] | {"MaxOpen": 2}})
        stats = await self.stats()
        self.assertEqual(
            {name: one["state"] for name, one in stats.pop("servers").items()},
            dict.fromkeys(("d0", "d1"), "reachable"),
        )
        self.assertGreaterEqual(stats.pop("longest_lateness_ms"), 0.0)
        self.assertEqual(
            stats,
            {
                "list_age_s": None,
                "calls_cut": {},
                "fulfilled": {"a": 0, "b": 0},
                "throttled": {"a": 0, "b": 0},
                "faulted": {"a": 0, "b": 0},
                "relayed": 0,
                "open_requests": 0,
                "registry_entries": 2,
                "out_of_rotation": 0,
                "cfg_accepted": 0,
                "cfg_invalid": 0,
                "memory_charged": 0,
                "memory_budget": None,
            },
        )
        caller = await self.caller()
        caller.send(invite(dest=1))  # full there, established at the other one
        await caller.until(200)
        accepting.script = never_answer
        caller.send(invite("00000000000000a2", call_class="b"))
        await accepting.until("INVITE")
        caller.send(invite("00000000000000a3", call_class="b"))
        await accepting.until("INVITE")
        caller.send(invite("00000000000000a4", call_class="b"))  # above MaxOpen
        await caller.until(503)
        caller.send(sip_request("CANCEL", "00000000000000a2"))  # not counted: the caller gets no final answer
        await accepting.until("CANCEL")
        daemon.agent.fail_unanswered()
        await caller.until(500)
        stats = await self.stats()
        self.assertEqual(
            [stats[one] for one in ("fulfilled", "throttled", "faulted", "relayed", "open_requests")],
            [{"a": 1, "b": 0}, {"a": 0, "b": 1}, {"a": 0, "b": 1}, 4, 1],
        )
        daemon.agent.list_changed(api.Scope.DELTA, [self.desk(1, full.address, phase=2)])
        stats = await self.stats()
        self.assertEqual((stats["registry_entries"], stats["out_of_rotation"]), (2, 1))
        daemon.agent.list_changed(api.Scope.DELTA, [self.desk(1, full.address, phase=0)])
        stats = await self.stats()
        self.assertEqual((stats["registry_entries"], stats["out_of_rotation"]), (1, 0))

    async def stats(self) -> Any:
        return (await self.call("GET", "/admin/stats"))[1]

    async def test_an_attempt_is_counted_once_its_last_byte_is_written(self) -> None:
        daemon = await self.serve(ScriptedDesk())
        (connection,) = daemon.desks.links["d0"].connections
        with mock.patch.object(connection.stream, "write_to_fd", return_value=0):  # the desk stops reading
            caller = await self.caller()
            caller.send(invite())
            await self.eventually(lambda: connection.stream.writing())
            self.assertEqual((await self.stats())["relayed"], 0)
        await caller.until(200)
        self.assertEqual((await self.stats())["relayed"], 1)
