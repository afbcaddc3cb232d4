"""Configurations that can't be used, those that ship, and the hook's file."""

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from seamlb.cli import main
from tests.processes import EXAMPLE, ROOT
from tests.sip_peers import SipTestCase
from tests.support import RAW


class Configurations(unittest.TestCase):
    def refuses(self, says: str, config: str | dict[str, Any], plugins: str = "") -> None:
        with tempfile.TemporaryDirectory() as folder:
            file, toml = Path(folder) / "c.json", Path(folder) / "p.toml"
            file.write_text(config if isinstance(config, str) else json.dumps(config))
            toml.write_text(plugins)
            extra = ["--plugins", str(toml)] if plugins else []
            for command in ("check-config", "serve"):
                told = CliRunner().invoke(main, [command, "--config", str(file), *extra])
                self.assertEqual(told.exit_code, 2, told.output)
                self.assertEqual(told.output.count("\n"), 1, told.output)
                self.assertIn(says, told.output)

    def test_what_is_wrong_is_one_line_and_exit_2(self) -> None:
        good = {"listen": "127.0.0.1:0", "settings": RAW}
        self.refuses("not JSON", "{")
        self.refuses("not an object", "[]")
        self.refuses("'settings' missing", {"listen": "127.0.0.1:1"})
        self.refuses("listen: missing", {"settings": RAW})
        self.refuses("listen: not host:port: 'here'", good | {"listen": "here"})
        self.refuses("management: not host:port: 'there'", good | {"management": "there"})
        self.refuses(
            "Contract.Fall: missing",
            good | {"settings": RAW | {"Contract": {k: v for k, v in RAW["Contract"].items() if k != "Fall"}}},
        )
        self.refuses("not a list of notices", good | {"known": {"rev": 1, "notices": [{}]}})
        self.refuses("unknown table web", good, "[web]\n")
        self.refuses("sip.port: unknown key", good, "[sip]\nport = 1\n")
        self.refuses("sip: neither udp nor tcp", good, "[sip]\n")
        self.refuses("unknown class 'x'", good, '[sip]\nudp = "127.0.0.1:1"\ndefault_class = "x"\n')
        self.refuses("sip.udp: not host:port", good, '[sip]\nudp = "nowhere"\n')
        self.refuses("desks.transport", good, '[desks]\ntransport = "tcp"\nudp = "127.0.0.1:1"\n')
        self.refuses("hook.py: FileNotFoundError", good, '[hook]\nfile = "hook.py"\n')

    def test_the_files_that_ship_are_good(self) -> None:
        for plugins in ("deploy/sip.toml", "examples/sip.toml"):
            told = CliRunner().invoke(main, ["check-config", "--config", EXAMPLE, "--plugins", str(ROOT / plugins)])
            self.assertEqual(told.exit_code, 0, told.output)

    def test_version(self) -> None:
        self.assertRegex(CliRunner().invoke(main, ["version"]).output, r"^seamlb \d")


class Hooks(SipTestCase):
    async def run_with(self, text: str) -> int:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "hook.py"
        path.write_text(text)
        daemon = await self.start_sip(hook=str(path))
        caller = await self.sip_caller(daemon, "udp")
        answer = await caller.invite("ok")
        caller.peer.send(caller.build("BYE"))
        await self.eventually(lambda: self.events("call_end"))
        return answer.status

    async def test_a_hook_classifies_and_observes(self) -> None:
        seen = Path(self.enterContext(tempfile.TemporaryDirectory())) / "seen"
        status = await self.run_with(
            "def classify(call):\n    assert call['transport'] == 'UDP' and call['headers']['max-forwards']\n"
            f"    return {{'class': 'b'}}\ndef observe(r):\n    open({str(seen)!r}, 'w').write(str(r))\n"
        )
        self.assertEqual((status, self.events("call_end")[0]["kind"]), (200, "b"))
        self.assertIn("'result': 'released'", seen.read_text())

    async def test_a_hook_that_fails_is_disabled_and_the_call_goes_on(self) -> None:
        for fault in ("return {'class': 'nobody'}", "return 7", "raise SystemExit if 0 else KeyError('x')"):
            with self.subTest(fault=fault):
                self.logged.clear()
                self.assertEqual(await self.run_with(f"def classify(call):\n    {fault}\n"), 200)
                self.assertEqual(self.events("call_end")[0]["kind"], "a")
                self.assertEqual(len(self.events("hook_disabled")), 1)
