"""Plug-ins in a daemon: their effects and limits, reloads, and the control socket under malformed input."""

import asyncio
import os
import stat
import tempfile
from pathlib import Path
from typing import Any

import orjson

from seamlb import api
from seamlb.config import ConfigError
from seamlb.daemon import Daemon
from seamlb.extras import Plugins, load_plugins
from seamlb.plugins.chain import SHADOW_CALLS
from seamlb.plugins.control import MAX_CLIENTS
from seamlb.plugins.service import PluginService
from seamlb.subsystems.plugins import PluginsSubsystem
from tests.loopback import DaemonTestCase, Peer, ScriptedDesk, config, invite, refuse
from tests.support import RAW
from tests.test_plugins import FAULTY_MODULES

TABLE = '[plugins]\ncontrol = "c.sock"\n[[plugins.plugin]]\nfile = "p.rules"\nmost = 1.0\n'
RULES = 'plugin p version {}\nrule c on classify then class "b", office "y"\nrule d on prefer then prefer "d1"\n'


def plugin_service(daemon: Daemon) -> PluginService:
    return next(item.service for item in daemon.subsystems if isinstance(item, PluginsSubsystem))


class PluginTestCase(DaemonTestCase):
    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        tenants = [{"Name": "x", "AllowancePerS": 9}, {"Name": "y", "AllowancePerS": 9}]
        self.config = config(settings=RAW | {"Tenants": tenants})
        self.write(RULES.format(1))

    def write(self, rules: str | bytes, table: str = TABLE, name: str = "p.rules") -> None:
        (self.folder / name).write_bytes(rules if isinstance(rules, bytes) else rules.encode())
        (self.folder / "plugins.toml").write_text(table)

    def read(self) -> Plugins:
        return load_plugins(str(self.folder / "plugins.toml"), self.config)

    async def serve(self, *desks: ScriptedDesk) -> Daemon:
        daemon = Daemon(self.config, self.read(), lambda: (self.config, self.read()))
        self.addAsyncCleanup(self._stop, daemon, desks)
        await daemon.start()
        self.address = f"127.0.0.1:{daemon.front.listener.port}"
        daemon.agent.list_changed(api.Scope.CACHED, [self.desk(n, await d.start()) for n, d in enumerate(desks)])
        for index in range(len(desks)):
            await self.eventually(lambda index=index: daemon.agent.module.node.fleet.servers[index].reported_at > 0)
            self.fill_budget(daemon, index)
        return daemon

    async def call(self, number: int, status: int = 200) -> None:
        caller = await self.caller()
        call_id = f"{number:016x}"
        request = invite(call_id)
        request.uri = f"sip:{number}@net"  # a new caller each time, so that no call counts as a redial
        caller.send(request)
        self.assertEqual((await caller.until(status)).get("call-id"), call_id)

    async def send_command(self, **request: Any) -> Any:
        reader, writer = await asyncio.open_unix_connection(str(self.folder / "c.sock"))
        writer.write(orjson.dumps(request) + b"\n")
        reply = orjson.loads(await reader.readline())
        writer.close()
        return reply


class AdviceTest(PluginTestCase):
    async def test_rules_set_the_class_and_the_first_choice(self) -> None:
        first, second = ScriptedDesk(), ScriptedDesk()
        await self.serve(first, second)
        await self.call(1)
        sent = await second.until("INVITE")
        self.assertEqual(sent.get("x-cos"), "b")
        self.assertTrue(first.received.empty())

    async def test_a_draining_desk_is_never_preferred(self) -> None:
        first, second = ScriptedDesk(), ScriptedDesk()
        daemon = await self.serve(first, second)
        daemon.agent.list_changed(api.Scope.DELTA, [self.desk(1, second.address, phase=2)])
        await self.call(1)
        await first.until("INVITE")
        self.assertTrue(second.received.empty())

    async def test_raised_priority_uses_an_office_that_no_caller_can_name(self) -> None:
        self.write("plugin p version 1\nrule c on classify then precedence")
        daemon = await self.serve(ScriptedDesk())
        requests: list[api.CallRequest] = []
        handle = daemon.agent.handle
        daemon.agent.handle = lambda event: (  # type: ignore[method-assign]
            requests.append(event) if isinstance(event, api.CallRequest) else None,
            handle(event),
        )[1]
        for number in range(30):
            await self.call(number)
        module = daemon.agent.module
        self.assertEqual({request.tenant for request in requests}, {2})

        def over_share(tenant: int) -> int:
            return module.callers._over_share(daemon.agent.clock(), tenant, module.node.settings)

        self.assertEqual({over_share(2) for _ in range(1000)}, {0})
        self.assertEqual([over_share(3) for _ in range(5)], [0, 1, 1, 1, 1])
        self.assertEqual(module.node.settings.allowances[:2], daemon.config.settings.allowances)
        self.assertEqual(set(daemon.agent.settings.tenant_ids), {"x", "y"})

    async def test_calls_succeed_with_a_faulty_plugin(self) -> None:
        for name in ("fuel", "trap", "nan"):
            self.write(FAULTY_MODULES[name], TABLE.replace("p.rules", "p.wasm"), "p.wasm")
            daemon = await self.serve(ScriptedDesk())
            for number in range(7):
                await self.call(number)
            self.assertEqual(self.events("plugin_health")[-1]["now"], "quarantine")
            await daemon.close()
        self.assertEqual([event["result"] for event in self.events("call_end") if event["result"] == "fault"], [])

    async def test_a_full_preferred_desk_is_tried_once(self) -> None:
        """The preferred desk is full: the decision module moves the call to the other one, and not back."""
        first, second = ScriptedDesk(), ScriptedDesk(refuse(503, ("X-Diagnosis", "atb")))
        await self.serve(first, second)
        await self.call(1)
        await first.until("INVITE")
        await second.until("INVITE")
        self.assertNotIn("INVITE", [second.received.get_nowait().method for _ in range(second.received.qsize())])


class ReloadTest(PluginTestCase):
    async def test_a_new_version_runs_in_shadow_and_an_invalid_file_changes_nothing(self) -> None:
        daemon = await self.serve(ScriptedDesk(), ScriptedDesk())
        slot = plugin_service(daemon).chain.slots["p"]
        for invalid in ("plugin p", "plugin p version 2\nrule r on send then refuse", "\0"):
            self.write(invalid)
            daemon.reload()
        self.write(RULES.format(2), TABLE + "colour = 1\n")
        daemon.reload()
        self.assertEqual(len(self.events("reload_failed")), 4)
        self.assertIsNone(slot.shadow)
        self.write(RULES.format(2))
        daemon.reload()
        assert slot.shadow is not None
        self.assertEqual((slot.shadow.program.version, slot.active.program.version), (2, 1))
        slot.shadow_calls = SHADOW_CALLS - 1
        await self.call(1)
        self.assertEqual(slot.active.program.version, 2)
        daemon.reload()  # the same file is not a new version
        self.assertIsNone(slot.shadow)

    async def test_rollback_while_draining(self) -> None:
        daemon = await self.serve(ScriptedDesk(), ScriptedDesk())
        self.write(RULES.format(2))
        daemon.reload()
        plugin_service(daemon).chain.switch(daemon.agent.clock(), "p")
        caller = await self.caller()
        daemon.lifecycle.terminate(asyncio.get_running_loop().time())
        caller.send(invite("00000000000000a1"))
        plugin_service(daemon).chain.roll_back(daemon.agent.clock(), "p")
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a1")
        self.assertEqual(plugin_service(daemon).chain.slots["p"].active.program.version, 1)

    def test_invalid_tables(self) -> None:
        for table, reason in (
            (TABLE + 'points = ["send"]\n', "unknown 'send'"),
            (TABLE + 'facts = ["password"]\n', "unknown 'password'"),
            (TABLE + 'facts = ["number"]\npoints = ["classify"]\n', "which is not granted"),
            (TABLE.replace("1.0", "1.5"), "most"),
            (TABLE.replace("most", "fuel"), "fuel"),
            (TABLE.replace("p.rules", "none.rules"), "No such file"),
            (TABLE + '[[plugins.plugin]]\nfile = "p.rules"\n', "is defined twice"),
        ):
            self.write(RULES.format(1), table)
            with self.assertRaisesRegex(ConfigError, reason):
                self.read()


class ControlSocketTest(PluginTestCase):
    async def test_commands(self) -> None:
        self.write(
            "plugin p version 1\nstate evacuation of office\nrule c on classify when evacuation then precedence"
        )
        daemon = await self.serve(ScriptedDesk())
        self.assertEqual(stat.S_IMODE(os.stat(self.folder / "c.sock").st_mode), 0o600)
        await self.call(1)
        (row,) = (await self.send_command(do="list"))["answer"]
        self.assertEqual((row["plugin"], row["version"], row["health"], row["calls"]), ("p", 1, "on", 1))
        self.assertTrue((await self.send_command(do="state", state="evacuation", of="x", on=True))["ok"])
        self.assertEqual((await self.send_command(do="status"))["answer"]["states"], [["evacuation", "x"]])
        self.write("plugin p version 2\nrule c on classify then precedence")
        self.assertEqual((await self.send_command(do="upgrade", plugin="p"))["answer"], "shadow")
        self.assertTrue((await self.send_command(do="switch", plugin="p"))["ok"])
        self.assertTrue((await self.send_command(do="rollback", plugin="p"))["ok"])
        self.assertTrue((await self.send_command(do="disable", plugin="p"))["ok"])
        self.assertEqual((await self.send_command(do="list"))["answer"][0]["health"], "off")
        self.assertTrue((await self.send_command(do="unload", plugin="p"))["ok"])
        for request, expected in (
            ({"do": "unload", "plugin": "p"}, "no plug-in"),
            ({"do": "explode"}, "unknown command"),
            ({"do": "load"}, "a file"),
            ({"do": "load", "file": "/none"}, "No such file"),
            ({"do": "state", "state": "s"}, "no plug-in has"),
            ({}, "unknown command"),
        ):
            reply = await self.send_command(**request)
            self.assertFalse(reply["ok"])
            self.assertIn(expected, reply["error"])
        await daemon.close()
        self.assertFalse((self.folder / "c.sock").exists())

    async def test_malformed_partial_and_endless_lines_and_idle_clients(self) -> None:
        await self.serve(ScriptedDesk(), ScriptedDesk())
        path = str(self.folder / "c.sock")
        for line in (b"\xff\xfe\n", b"[]\n", b"{\n", b"1\n"):
            reader, writer = await asyncio.open_unix_connection(path)
            writer.write(line)
            self.assertFalse(orjson.loads(await reader.readline())["ok"])
            writer.write(line[:-1])  # an incomplete line, then a closed connection
            writer.close()
        reader, writer = await asyncio.open_unix_connection(path)
        endless = Peer(reader, writer)
        with self.assertRaises((EOFError, OSError)):
            for _ in range(160):
                writer.write(b"x" * 65536)  # 10 MB without a newline
                await writer.drain()
            await endless.next()
        # The earlier clients are gone. Of 500 idle ones, the first MAX_CLIENTS stay connected; the others are closed.
        idle = [await asyncio.open_unix_connection(path) for _ in range(500)]
        closed = 0
        for reader, _ in idle[MAX_CLIENTS:]:
            closed += await reader.read(1) == b""
        self.assertEqual(closed, 500 - MAX_CLIENTS)
        await self.call(1)  # calls are still handled
        for _, writer in idle:
            writer.close()
        await self.eventually(lambda: True)
        async with asyncio.timeout(20):
            while True:
                try:
                    if (await self.send_command(do="list"))["ok"]:
                        break
                except (orjson.JSONDecodeError, OSError):
                    await asyncio.sleep(0.01)  # the last idle clients are still being closed
        self.assertEqual(self.events("fault"), [])
