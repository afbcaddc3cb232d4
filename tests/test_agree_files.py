"""Settings of version agreement."""

import json
import tempfile
import unittest
from pathlib import Path

from tests.fleet import check_files
from tests.support import RAW


class Files(unittest.TestCase):
    def test_an_error_is_reported_as_one_line_with_exit_code_2(self) -> None:
        valid = {
            "listen": "127.0.0.1:7100",
            "founding": "f.toml",
            "state": "s",
            "keys": "k",
            "council": ["a0=127.0.0.1:7100", "a1=127.0.0.1:7101", "a2=127.0.0.1:7102"],
        }
        founding = 'council = ["a0", "a1", "a2"]\nagents = ["a0", "a1", "a2", "a3"]\n'
        rule = '[rules.open]\nkind = "limit"\nvalue = 10\nalone = 2\n'
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            (folder / "s").mkdir()
            (folder / "k").write_text(f'send = 1\n[keys]\n1 = "{"11" * 32}"\n')
            (folder / "k").chmod(0o600)
            (folder / "c.json").write_text(json.dumps({"settings": RAW, "listen": "127.0.0.1:0", "name": "a1"}))
            for change, text, expected in (
                ({}, founding + rule, ""),
                ({"within": 0.5}, founding, "agree.within: must be 1 to 60 seconds"),
                ({"state": "none"}, founding, f"agree.state: folder {str(folder / 'none')!r} does not exist"),
                ({"listen": ""}, founding, "agree.listen: missing"),
                ({"listen": "here"}, founding, "agree.listen: not host:port"),
                ({"council": valid["council"][:2]}, founding, "agree.council: no address for 'a2'"),
                ({"lease": 1}, founding, "agree.lease: unknown key"),
                ({}, founding.replace('["a0", "a1", "a2"]', '["a0", "a1"]'), "2 members, must be 1, 3, 5 or 7"),
                ({}, founding + rule.replace("alone = 2", "alone = 20"), "open: below the fallback value 20"),
                ({}, founding + rule.replace("limit", "free"), "open: of kind 'free', not 'limit'"),
                ({}, founding + rule.replace("value = 10\n", ""), "rules.open: must have kind, value and alone"),
                ({}, "people = 3\n" + founding, "unknown key 'people'"),
                ({"founding": "none.toml"}, founding, "No such file"),
            ):
                with self.subTest(expected=expected):
                    (folder / "f.toml").write_text(text)
                    (folder / "p.toml").write_text(
                        "[agree]\n"
                        + "".join(f"{key} = {json.dumps(value)}\n" for key, value in (valid | change).items())
                    )
                    check_files(self, folder, expected)
