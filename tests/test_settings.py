"""Settings reloaded while serving: stable ids, and how the decision module and the daemon apply a new version."""

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
from tests.support import RAW, call_request, ended, give_list, sent_to, settings

ROOT = Path(__file__).resolve().parent.parent
A, B = RAW["Classes"]
C = A | {"Name": "c", "Worth": 2.0}


def version(*classes: dict[str, Any], **changes: Any) -> api.Settings:
    return settings(Classes=list(classes), **changes)


def test_ids_never_shift_and_an_id_in_use_is_not_reused() -> None:
    first = version(A, B)
    second = version(C, B | {"Worth": 7.0}).following(first)
    assert second.class_ids == {"c": 2, "b": 1} and [known.name for known in second.classes] == ["a", "b", "c"]
    assert second.classes[1].worth == 7.0 and second.classes[0] == first.classes[0]
    third = version(A, B, C).following(second, classes_in_use={0})
    assert third.class_ids == {"a": 3, "b": 1, "c": 2}, "an open call still has the id"
    assert version(A, B, C).following(second).class_ids == {"a": 0, "b": 1, "c": 2}
    offices = [{"Name": "x", "AllowancePerS": 1.0}, {"Name": "y", "AllowancePerS": 2.0}]
    fourth = settings(Tenants=offices).following(third)
    fifth = settings(Tenants=[offices[1] | {"AllowancePerS": 5.0}, {"Name": "z", "AllowancePerS": 3.0}]).following(
        fourth
    )
    assert fifth.tenant_ids == {"y": 1, "z": 2} and fifth.allowances == (1.0, 5.0, 3.0)


def test_tables_do_not_grow_with_each_reload() -> None:
    current = version(A, B)
    for reload in range(50):  # a class that is there in every other version, and one with a new name in each
        named = A | {"Name": f"n{reload}"}
        offices = [{"Name": "x", "AllowancePerS": 1.0}, {"Name": f"y{reload}", "AllowancePerS": 2.0 + reload}]
        current = settings(Classes=[named, B] if reload % 2 else [A, named, B], Tenants=offices).following(current)
        assert (
            current.classes[current.class_ids[f"n{reload}"]].name == f"n{reload}"
            and current.classes[current.class_ids["b"]].name == "b"
        )
        assert current.allowances[current.tenant_ids[f"y{reload}"]] == 2.0 + reload and current.tenant_ids["x"] == 0
    assert len(current.classes) <= 5 and len(current.allowances) <= 3


def test_state_recorded_under_an_id_does_not_pass_to_the_next_class_or_tenant() -> None:
    offices = [{"Name": "x", "AllowancePerS": 0.1}, {"Name": "y", "AllowancePerS": 0.1}]
    first = version(A, B, Tenants=offices, OverShareWorth=0.1)
    controller = Controller(first, 1)
    for call in range(3):
        # Refused for lack of a server; uses y's share.
        controller.handle(0.0, api.CallRequest(call, 1, 1, 3000.0, 1, number_key=77))
    assert controller.callers.share_buckets[1].level < 1.0 and (77, 1, 1) in controller.callers.turned_away
    second = version(A, Tenants=offices[:1], OverShareWorth=0.1).following(first)
    third = version(A, C, Tenants=[offices[0], offices[1] | {"Name": "z"}], OverShareWorth=0.1).following(second)
    assert (third.class_ids["c"], third.tenant_ids["z"]) == (1, 1)
    for new in (second, third):
        controller.handle(1.0, api.NewSettings(new))
    controller.handle(2.0, api.CallRequest(9, 1, 1, 3000.0, 1, number_key=77))
    assert controller.callers.turned_away[77, 1, 1] == (2.0, 2.0, 0), "a first try, within the share of its tenant"


def test_settings_that_need_a_restart_stay_as_they_are() -> None:
    old, new = version(A, B), version(A, B, Instances=9, Az=2)
    assert new.restart_only_changes(old) == ["instances", "zone"]
    assert (new.following(old).instances, new.following(old).zone) == (old.instances, old.zone)


def test_open_calls_keep_their_class_and_attempts_and_new_calls_get_the_new_ones() -> None:
    limits = {"Cancel": False, "AttemptsCap": 3}
    old = version(A, B, Limits=limits)
    controller = Controller(old, 1)
    give_list(controller, 0.0, 1, 2, 3)
    controller.node.fleet.servers[2].tokens = controller.node.fleet.servers[3].tokens = 2.0
    assert sent_to(controller.handle(0.0, call_request(1))) == [1]
    new = version(A | {"Effect": "single_shot"}, C, Limits=limits | {"AttemptsCap": 1}).following(old)
    assert controller.handle(1.0, api.NewSettings(new)) == []
    assert sent_to(controller.handle(2.0, call_request(2))) == [1]
    # The first call keeps its old class and is repeated. The second may have run and may be neither repeated nor
    # refused.
    (retried_at,) = sent_to(controller.handle(3.0, ended(1, 1, Status.ERROR)))
    assert retried_at in (2, 3)
    assert controller.handle(3.0, ended(2, 1, Status.ERROR)) == [api.Fail(2)]


def test_ranks_cover_the_current_classes_and_calls_of_a_removed_class_get_its_neighbours_rank() -> None:
    old = version(A, B)
    controller = Controller(old, 1)
    give_list(controller, 0.0, 1)
    controller.handle(0.0, call_request(1, call_class=0))
    controller.handle(0.0, call_request(2, call_class=1))
    new = version(A, C).following(old)
    controller.handle(1.0, api.NewSettings(new))
    assert (
        controller.node.ranking.ranks == {(1, 0, 0): 0, (2, 0, 0): 0, (0, 0, 0): 1}
        and len(controller.node.ranking.floor_ratios) == 2
    )
    assert (controller.calls[1].rank, controller.calls[2].rank) == (1, 0)
    assert list(controller.node.fleet.servers[1].pending) == [1, 2], "the state of a server is kept"
    controller.handle(2.0, call_request(3, call_class=1))  # a request that was read before the change
    assert 3 in controller.calls


def without_each_key(value: Any, where: str = "") -> Iterator[tuple[str, Any]]:
    """Yield the value without one key, for each key at any depth, with the path of the key."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield f"{where}.{key}".lstrip("."), {name: kept for name, kept in value.items() if name != key}
            for path, reduced in without_each_key(inner, f"{where}.{key}"):
                yield path, value | {key: reduced}
    elif isinstance(value, list) and len(value) > 1:  # keys that other entries have are required
        for index, inner in enumerate(value):
            for path, reduced in without_each_key(inner, f"{where}[{index}]"):
                yield path, [*value[:index], reduced, *value[index + 1 :]]


class Reloads(DaemonTestCase):
    async def serve(self, **changes: Any) -> tuple[Daemon, ScriptedDesk]:
        self.path = Path(self.enterContext(tempfile.TemporaryDirectory())) / "c.json"
        self.good: dict[str, Any] = {"listen": "127.0.0.1:0", "limits": {"sockets": 100}, "settings": RAW}
        self.write(self.good)
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        daemon.config = config.load(str(self.path))
        daemon.reread = lambda: (config.load(str(self.path)), Plugins())
        return daemon, desk

    def write(self, content: Any) -> None:
        self.path.write_text(content if isinstance(content, str) else json.dumps(content))

    async def test_a_file_that_is_truncated_or_lacks_any_key_is_rejected_as_a_whole(self) -> None:
        daemon, _ = await self.serve()
        text = (ROOT / "examples" / "config.json").read_text().strip()
        whole = json.loads(text)
        self.write(whole)
        daemon.config = config.load(str(self.path))
        before, known = daemon.config, whole.pop("known", None)
        broken = [(f"cut at {at}", text[:at]) for at in range(len(text))]
        broken += [(path, reduced | ({"known": known} if known else {})) for path, reduced in without_each_key(whole)]
        self.assertGreater(len(broken), len(text) + 40)
        for what, content in broken:
            self.write(content)
            daemon.reload()
            self.assertIs(daemon.config, before, what)
        self.assertEqual((daemon.cfg_accepted, daemon.cfg_invalid), (0, len(broken)))
        self.assertEqual(len(self.events("reload_failed")), len(broken))

    async def test_a_reload_adds_one_class_and_removes_another(self) -> None:
        daemon, desk = await self.serve()
        caller = await self.caller()
        caller.send(invite("00000000000000a0", call_class="c"))
        await caller.until(400)
        desk.script = never_answer
        caller.send(invite(call_class="a"))
        pending = await desk.until("INVITE")
        self.write(self.good | {"settings": RAW | {"Classes": [B, C]}})
        daemon.reload()
        caller.send(invite("00000000000000a2", call_class="a"))
        await caller.until(400)
        desk.script = ScriptedDesk().script
        caller.send(invite("00000000000000a3", call_class="c"))
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a3")
        await ScriptedDesk().script(desk.peers[0], pending)  # the call that was open is answered as before
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a1")
        self.assertEqual(self.events("reloaded")[-1]["waits_for_restart"], [])
        self.assertEqual(daemon.stats()["fulfilled"], {"a": 1, "b": 0, "c": 1})
        self.assertEqual((daemon.cfg_accepted, daemon.cfg_invalid), (1, 0))

    async def test_an_invalid_file_changes_nothing_and_logs_one_line(self) -> None:
        daemon, _ = await self.serve()
        before = daemon.agent.settings
        whole = json.dumps(self.good)
        without_report = {key: value for key, value in RAW.items() if key != "Report"}
        for content, message in (
            ("", "not JSON"),
            (whole[: len(whole) // 2], "not JSON"),
            ({}, "'settings' missing"),
            (
                self.good | {"settings": without_report},
                "settings.Report: missing, and the configuration in force has it",
            ),
            (
                self.good | {"settings": RAW | {"Classes": [A, {k: v for k, v in C.items() if k != "Effect"}]}},
                "settings.Classes[1].Effect: missing",
            ),
            (self.good | {"settings": RAW | {"Classes": [A | {"Deadline": 0}, B]}}, "Classes[0].Deadline: impo"),
            (self.good | {"settings": RAW | {"Classes": [A, A]}}, "'a' is there twice"),
            (self.good | {"settings": RAW | {"Limits": RAW["Limits"] | {"AttemptsCap": 0}}}, "AttemptsCap: impo"),
            ({key: value for key, value in self.good.items() if key != "limits"}, "limits: missing"),
        ):
            with self.subTest(message=message):
                self.logged.clear()
                self.write(content)
                daemon.reload()
                (line,) = self.events("reload_failed")
                self.assertIn(message, line["error"])
                self.assertTrue(line["error"].startswith(str(self.path)))
                self.assertIs(daemon.agent.settings, before)
        self.assertEqual((daemon.cfg_accepted, daemon.cfg_invalid), (0, 9))
        self.write(self.good | {"settings": RAW | {"Instances": 9, "Limits": RAW["Limits"] | {"AttemptsCap": 2}}})
        daemon.reload()
        self.assertEqual(self.events("reloaded")[-1]["waits_for_restart"], ["settings.instances"])
        self.assertEqual(daemon.agent.module.node.settings.limits.attempts_cap, 2)
