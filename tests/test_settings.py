"""New settings while serving: numbers that never shift, and what the module and the daemon make of a version."""

import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from seamlb import api, config
from seamlb.api import Status
from seamlb.daemon import Daemon
from seamlb.extras import Plugins
from seamlb.policy.controller import Controller
from tests.loopback import DaemonTestCase, ScriptedDesk, invite, never_answer
from tests.support import RAW, demand, ended, listed, sent_to, settings

ROOT = Path(__file__).resolve().parent.parent
A, B = RAW["Classes"]
C = A | {"Name": "c", "Worth": 2.0}


def version(*classes: dict[str, Any], **change: Any) -> api.Settings:
    return settings(Classes=list(classes), **change)


def test_numbers_never_shift_and_one_that_is_in_use_does_not_come_back() -> None:
    first = version(A, B)
    second = version(C, B | {"Worth": 7.0}).following(first)
    assert second.class_ids == {"c": 2, "b": 1} and [one.name for one in second.classes] == ["a", "b", "c"]
    assert second.classes[1].worth == 7.0 and second.classes[0] == first.classes[0]
    third = version(A, B, C).following(second, open_classes={0})
    assert third.class_ids == {"a": 3, "b": 1, "c": 2}, "an open call has the number still"
    assert version(A, B, C).following(second).class_ids == {"a": 0, "b": 1, "c": 2}
    offices = [{"Name": "x", "AllowancePerS": 1.0}, {"Name": "y", "AllowancePerS": 2.0}]
    fourth = settings(Tenants=offices).following(third)
    fifth = settings(Tenants=[offices[1] | {"AllowancePerS": 5.0}, {"Name": "z", "AllowancePerS": 3.0}]).following(
        fourth
    )
    assert fifth.tenant_ids == {"y": 1, "z": 2} and fifth.allowances == (1.0, 5.0, 3.0)


def test_tables_do_not_grow_with_each_reload() -> None:
    made = version(A, B)
    for turn in range(50):  # a class that comes and goes, and one that has another name each time
        named = A | {"Name": f"n{turn}"}
        offices = [{"Name": "x", "AllowancePerS": 1.0}, {"Name": f"y{turn}", "AllowancePerS": 2.0 + turn}]
        made = settings(Classes=[named, B] if turn % 2 else [A, named, B], Tenants=offices).following(made)
        assert (
            made.classes[made.class_ids[f"n{turn}"]].name == f"n{turn}"
            and made.classes[made.class_ids["b"]].name == "b"
        )
        assert made.allowances[made.tenant_ids[f"y{turn}"]] == 2.0 + turn and made.tenant_ids["x"] == 0
    assert len(made.classes) <= 5 and len(made.allowances) <= 3


def test_what_is_known_by_a_number_is_not_the_next_ones() -> None:
    offices = [{"Name": "x", "AllowancePerS": 0.1}, {"Name": "y", "AllowancePerS": 0.1}]
    first = version(A, B, Tenants=offices, OverShareWorth=0.1)
    controller = Controller(first, 1)
    for call in range(3):
        # no server: refused, and y's share is used
        controller.handle(0.0, api.CallRequest(call, 1, 1, 3000.0, 1, number_key=77))
    assert controller.callers.shares[1].level < 1.0 and (77, 1, 1) in controller.callers.turned_away
    second = version(A, Tenants=offices[:1], OverShareWorth=0.1).following(first)
    third = version(A, C, Tenants=[offices[0], offices[1] | {"Name": "z"}], OverShareWorth=0.1).following(second)
    assert (third.class_ids["c"], third.tenant_ids["z"]) == (1, 1)
    for made in (second, third):
        controller.handle(1.0, api.NewSettings(made))
    controller.handle(2.0, api.CallRequest(9, 1, 1, 3000.0, 1, number_key=77))
    assert controller.callers.turned_away[77, 1, 1] == (2.0, 2.0, 0), "a first try of its own, within its own share"


def test_what_is_for_a_start_only_stays() -> None:
    old, new = version(A, B), version(A, B, Instances=9, Az=2)
    assert new.restart_only_changes(old) == ["instances", "zone"]
    assert (new.following(old).instances, new.following(old).zone) == (old.instances, old.zone)


def test_open_calls_keep_their_class_and_attempts_and_new_ones_have_the_new() -> None:
    limits = {"Cancel": False, "AttemptsCap": 3}
    old = version(A, B, Limits=limits)
    controller = Controller(old, 1)
    listed(controller, 0.0, 1, 2, 3)
    controller.node.fleet.servers[2].tokens = controller.node.fleet.servers[3].tokens = 2.0
    assert sent_to(controller.handle(0.0, demand(1))) == [1]
    new = version(A | {"Effect": "single_shot"}, C, Limits=limits | {"AttemptsCap": 1}).following(old)
    assert controller.handle(1.0, api.NewSettings(new)) == []
    assert sent_to(controller.handle(2.0, demand(2))) == [1]
    # The first may be repeated, as it came; the second was sent once and may have run: it may not, nor be refused.
    (again,) = sent_to(controller.handle(3.0, ended(1, 1, Status.ERROR)))
    assert again in (2, 3)
    assert controller.handle(3.0, ended(2, 1, Status.ERROR)) == [api.Fail(2)]


def test_ranks_are_the_live_classes_and_a_dropped_ones_calls_go_by_the_next() -> None:
    old = version(A, B)
    controller = Controller(old, 1)
    listed(controller, 0.0, 1)
    controller.handle(0.0, demand(1, kind=0))
    controller.handle(0.0, demand(2, kind=1))
    new = version(A, C).following(old)
    controller.handle(1.0, api.NewSettings(new))
    assert (
        controller.node.ranking.ranks == {(1, 0, 0): 0, (2, 0, 0): 0, (0, 0, 0): 1}
        and len(controller.node.ranking.floor_ratios) == 2
    )
    assert (controller.calls[1].rank, controller.calls[2].rank) == (1, 0)
    assert list(controller.node.fleet.servers[1].pending) == [1, 2], "what is known of a server stays"
    controller.handle(2.0, demand(3, kind=1))  # it was read before the change
    assert 3 in controller.calls


def without_each_key(value: Any, where: str = "") -> Iterator[tuple[str, Any]]:
    """The value less one key, for each key at any depth."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield f"{where}.{key}".lstrip("."), {name: one for name, one in value.items() if name != key}
            for path, less in without_each_key(inner, f"{where}.{key}"):
                yield path, value | {key: less}
    elif isinstance(value, list) and len(value) > 1:  # what the others have is needed
        for place, inner in enumerate(value):
            for path, less in without_each_key(inner, f"{where}[{place}]"):
                yield path, [*value[:place], less, *value[place + 1 :]]


class Reloads(DaemonTestCase):
    async def serve(self, **change: Any) -> tuple[Daemon, ScriptedDesk]:
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        self.good: dict[str, Any] = {"listen": "127.0.0.1:0", "limits": {"sockets": 100}, "settings": RAW}
        self.write(self.good)
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        daemon.config = config.load(str(self.path))
        daemon.reread = lambda: (config.load(str(self.path)), Plugins())
        return daemon, desk

    def write(self, told: Any) -> None:
        self.path.write_text(told if isinstance(told, str) else json.dumps(told))

    async def test_a_real_file_that_is_cut_anywhere_or_lacks_any_key_is_turned_down_whole(self) -> None:
        daemon, _ = await self.serve()
        text = (ROOT / "examples" / "config.json").read_text().strip()
        whole = json.loads(text)
        self.write(whole)
        daemon.config = config.load(str(self.path))
        before, known = daemon.config, whole.pop("known", None)
        broken = [(f"cut at {at}", text[:at]) for at in range(len(text))]
        broken += [(path, less | ({"known": known} if known else {})) for path, less in without_each_key(whole)]
        self.assertGreater(len(broken), len(text) + 40)
        for what, told in broken:
            self.write(told)
            daemon.reload()
            self.assertIs(daemon.config, before, what)
        self.assertEqual((daemon.cfg_accepted, daemon.cfg_invalid), (0, len(broken)))
        self.assertEqual(len(self.events("reload_failed")), len(broken))

    async def test_a_class_comes_and_another_goes(self) -> None:
        daemon, desk = await self.serve()
        caller = await self.caller()
        caller.send(invite("00000000000000a0", call_class="c"))
        await caller.until(400)
        desk.script = never_answer
        caller.send(invite(call_class="a"))
        waits = await desk.until("INVITE")
        self.write(self.good | {"settings": RAW | {"Classes": [B, C]}})
        daemon.reload()
        caller.send(invite("00000000000000a2", call_class="a"))
        await caller.until(400)
        desk.script = ScriptedDesk().script
        caller.send(invite("00000000000000a3", call_class="c"))
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a3")
        await ScriptedDesk().script(desk.peers[0], waits)  # the one that was open is answered as ever
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a1")
        self.assertEqual(self.events("reloaded")[-1]["waits_for_restart"], [])
        self.assertEqual(daemon.stats()["fulfilled"], {"a": 1, "b": 0, "c": 1})
        self.assertEqual((daemon.cfg_accepted, daemon.cfg_invalid), (1, 0))

    async def test_a_broken_file_changes_nothing_and_is_one_line(self) -> None:
        daemon, _ = await self.serve()
        before = daemon.agent.settings
        whole = json.dumps(self.good)
        lacking = {key: value for key, value in RAW.items() if key != "Report"}
        for told, says in (
            ("", "not JSON"),
            (whole[: len(whole) // 2], "not JSON"),
            ({}, "'settings' missing"),
            (self.good | {"settings": lacking}, "settings.Report: missing, and the configuration in force has it"),
            (
                self.good | {"settings": RAW | {"Classes": [A, {k: v for k, v in C.items() if k != "Effect"}]}},
                "settings.Classes[1].Effect: missing",
            ),
            (self.good | {"settings": RAW | {"Classes": [A | {"Deadline": 0}, B]}}, "Classes[0].Deadline: impo"),
            (self.good | {"settings": RAW | {"Classes": [A, A]}}, "'a' is there twice"),
            (self.good | {"settings": RAW | {"Limits": RAW["Limits"] | {"AttemptsCap": 0}}}, "AttemptsCap: impo"),
            ({key: value for key, value in self.good.items() if key != "limits"}, "limits: missing"),
        ):
            with self.subTest(says=says):
                self.logged.clear()
                self.write(told)
                daemon.reload()
                (line,) = self.events("reload_failed")
                self.assertIn(says, line["error"])
                self.assertTrue(line["error"].startswith(str(self.path)))
                self.assertIs(daemon.agent.settings, before)
        self.assertEqual((daemon.cfg_accepted, daemon.cfg_invalid), (0, 9))
        self.write(self.good | {"settings": RAW | {"Instances": 9, "Limits": RAW["Limits"] | {"AttemptsCap": 2}}})
        daemon.reload()
        self.assertEqual(self.events("reloaded")[-1]["waits_for_restart"], ["settings.instances"])
        self.assertEqual(daemon.agent.module.node.settings.limits.attempts_cap, 2)
