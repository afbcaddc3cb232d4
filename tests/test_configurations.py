"""Invalid configurations, the shipped ones, and the hook's file."""

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
    def assert_refused(self, expected: str, config: str | dict[str, Any], plugins: str = "") -> None:
        with tempfile.TemporaryDirectory() as folder:
            config_file, plugins_file = Path(folder) / "c.json", Path(folder) / "p.toml"
            config_file.write_text(config if isinstance(config, str) else json.dumps(config))
            plugins_file.write_text(plugins)
            extra = ["--plugins", str(plugins_file)] if plugins else []
            for command in ("check-config", "serve"):
                result = CliRunner().invoke(main, [command, "--config", str(config_file), *extra])
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertEqual(result.output.count("\n"), 1, result.output)
                self.assertIn(expected, result.output)

    def test_an_error_is_one_line_and_exit_code_2(self) -> None:
        valid = {"listen": "127.0.0.1:0", "settings": RAW}
        self.assert_refused("not JSON", "{")
        self.assert_refused("not an object", "[]")
        self.assert_refused("'settings' missing", {"listen": "127.0.0.1:1"})
        self.assert_refused("listen: missing", {"settings": RAW})
        self.assert_refused("listen: not host:port: 'here'", valid | {"listen": "here"})
        self.assert_refused("management: not host:port: 'there'", valid | {"management": "there"})
        self.assert_refused(
            "Contract.Fall: missing",
            valid | {"settings": RAW | {"Contract": {k: v for k, v in RAW["Contract"].items() if k != "Fall"}}},
        )
        self.assert_refused("not a list of notices", valid | {"known": {"rev": 1, "notices": [{}]}})
        self.assert_refused("unknown table web", valid, "[web]\n")
        self.assert_refused("sip.port: unknown key", valid, "[sip]\nport = 1\n")
        self.assert_refused("sip: neither udp nor tcp", valid, "[sip]\n")
        self.assert_refused("unknown class 'x'", valid, '[sip]\nudp = "127.0.0.1:1"\ndefault_class = "x"\n')
        self.assert_refused("sip.udp: not host:port", valid, '[sip]\nudp = "nowhere"\n')
        self.assert_refused("desks.transport", valid, '[desks]\ntransport = "tcp"\nudp = "127.0.0.1:1"\n')
        consul = '[consul]\naddress = "127.0.0.1:1"\nservice = "s"\n'
        self.assert_refused("consul.wait: under 0", valid, consul + "wait = -1\n")
        self.assert_refused("consul.wait: under 0 or not a number", valid, consul + "wait = nan\n")
        self.assert_refused("hook.py: FileNotFoundError", valid, '[hook]\nfile = "hook.py"\n')

    def test_the_shipped_files_are_valid(self) -> None:
        for plugins in ("deploy/sip.toml", "examples/sip.toml"):
            result = CliRunner().invoke(main, ["check-config", "--config", EXAMPLE, "--plugins", str(ROOT / plugins)])
            self.assertEqual(result.exit_code, 0, result.output)

    def test_version(self) -> None:
        self.assertRegex(CliRunner().invoke(main, ["version"]).output, r"^seamlb \d")


class ScriptingHook(SipTestCase):
    async def run_call_with_hook(self, source: str) -> int:
        path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "hook.py"
        path.write_text(source)
        daemon = await self.start_sip(hook=str(path))
        caller = await self.sip_caller(daemon, "udp")
        answer = await caller.invite("ok")
        caller.peer.send(caller.build("BYE"))
        await self.eventually(lambda: self.events("call_end"))
        return answer.status

    async def test_a_hook_classifies_and_observes(self) -> None:
        output_file = Path(self.enterContext(tempfile.TemporaryDirectory())) / "seen"
        status = await self.run_call_with_hook(
            "def classify(call):\n    assert call['transport'] == 'UDP' and call['headers']['max-forwards']\n"
            f"    return {{'class': 'b'}}\ndef observe(r):\n    open({str(output_file)!r}, 'w').write(str(r))\n"
        )
        self.assertEqual((status, self.events("call_end")[0]["kind"]), (200, "b"))
        self.assertIn("'result': 'released'", output_file.read_text())

    async def test_a_failing_hook_is_disabled_and_the_call_continues(self) -> None:
        for body in ("return {'class': 'nobody'}", "return 7", "raise SystemExit if 0 else KeyError('x')"):
            with self.subTest(body=body):
                self.logged.clear()
                self.assertEqual(await self.run_call_with_hook(f"def classify(call):\n    {body}\n"), 200)
                self.assertEqual(self.events("call_end")[0]["kind"], "a")
                self.assertEqual(len(self.events("hook_disabled")), 1)
