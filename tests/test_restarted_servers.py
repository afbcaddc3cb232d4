"""Servers that are restarted at the same address: the calls of the process before end, those of the new one stay."""

import asyncio
import time

from seamlb import api
from seamlb.daemon import Daemon
from seamlb.desks.liveness import RELEASE_WITHIN
from seamlb.protocol.sip import Message
from tests.loopback import DaemonTestCase, Peer, bye, invite
from tests.sip_peers import SipCaller, SipTestCase
from tests.vanishing import VanishingDesk

GONE = 5.0  # seconds for which a machine is gone on the operators' days
SET_UP_EVERY = 0.2  # seconds
SLACK = 0.05  # seconds by which each promised time is longer (protocol)
RELEASED_BOTH_SIDES = 1.0 + SLACK  # seconds from a caller's release to its server's
FORMER, LATTER = "00000000000000a1", "00000000000000a2"


class RestartedServers(DaemonTestCase):
    async def established_call(self) -> tuple[VanishingDesk, Daemon, Peer]:
        """A desk with an established call, its daemon and its caller."""
        desk = VanishingDesk()
        daemon = await self.start(desk)
        caller = await self.established(daemon, FORMER)
        return desk, daemon, caller

    async def established(self, daemon: Daemon, ident: str) -> Peer:
        """A caller with an established call."""
        self.fill_budget(daemon, 0)
        caller = await Peer.connect(f"127.0.0.1:{daemon.front.listener.port}")
        self.addCleanup(caller.close)
        caller.send(invite(ident))
        await caller.until(200)
        return caller

    def tell_of_start(self, daemon: Daemon, desk: VanishingDesk, started_at: float) -> None:
        """Let the list tell that the server's process started at a Unix time in seconds."""
        entry = self.desk(0, desk.address, since=started_at * 1000.0)
        daemon.agent.list_changed(api.Scope.DELTA, [entry])

    async def send_set_ups(self, daemon: Daemon) -> None:
        caller = await Peer.connect(f"127.0.0.1:{daemon.front.listener.port}")
        self.addCleanup(caller.close)
        for number in range(int(GONE / SET_UP_EVERY)):
            caller.send(invite(f"{number:015x}b", timer=2000))
            await asyncio.sleep(SET_UP_EVERY)

    async def seconds_to_release(self, with_set_ups: bool, resets: bool) -> float:
        """Seconds from when a host vanishes, to return with another process, to the release of a call's caller."""
        desk, daemon, caller = await self.established_call()
        vanished_at = asyncio.get_running_loop().time()
        desk.vanish()
        await (self.send_set_ups(daemon) if with_set_ups else asyncio.sleep(GONE))
        desk.restart(resets)
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        return asyncio.get_running_loop().time() - vanished_at

    # Review case 3: the new process was taken for the one before, so only the list, seconds late, ended its calls.
    async def test_calls_of_a_host_that_returns_with_another_process_are_released_in_time(self) -> None:
        courses = [(with_set_ups, resets) for with_set_ups in (False, True) for resets in (False, True)]
        async with asyncio.TaskGroup() as group:
            playing = {course: group.create_task(self.seconds_to_release(*course)) for course in courses}
        late = {course: task.result() for course, task in playing.items() if task.result() > RELEASE_WITHIN + SLACK}
        self.assertEqual(late, {})

    # Review case 3: the late word of a restart cut the calls of the new process too, and told their callers only.
    async def test_late_word_of_a_restart_ends_the_calls_from_before_it_only_and_on_both_sides(self) -> None:
        desk, daemon, former = await self.established_call()
        (connection,) = daemon.desks.links["d0"].connections
        started_at = time.time()
        desk.restart()
        await self.eventually(lambda: daemon.desks.links["d0"].connections not in ([], [connection]))
        latter = await self.established(daemon, LATTER)
        self.tell_of_start(daemon, desk, started_at)
        self.assertIn("cause=41", (await former.until("BYE")).get("reason"))
        async with asyncio.timeout(RELEASED_BOTH_SIDES):
            self.assertEqual((await desk.until("BYE")).get("call-id"), FORMER)
        desk.peers[-1].send(bye(LATTER, 16))
        self.assertIn("cause=16", (await latter.until("BYE")).get("reason"))


class RestartedSipServers(SipTestCase):
    # Review case 3, on the other front: the late word of a restart cut the calls of the new process too.
    async def test_late_word_of_a_restart_ends_the_calls_from_before_it_only(self) -> None:
        daemon = await self.start_sip()
        former, latter = await self.sip_caller(daemon, "udp"), await self.sip_caller(daemon, "udp")
        await former.invite()
        started_at = time.time()
        self.fill_budget(daemon, 0)
        await latter.invite()
        idents = list(self.sip_desk.invites)
        entry = self.desk(0, self.sip_desk.address, since=started_at * 1000.0)
        daemon.agent.list_changed(api.Scope.DELTA, [entry])
        self.assertIn("cause=41", (await self.release(former)).get("reason"))
        await self.eventually(lambda: "BYE" in self.sip_desk.methods())
        released = [one.get("call-id") for one in self.sip_desk.received if one.method == "BYE"]
        self.assertEqual(released, idents[:1])
        self.sip_desk.bye(idents[1])
        self.assertIn("cause=16", (await self.release(latter)).get("reason"))

    async def release(self, caller: SipCaller) -> Message:
        """The release that a caller gets."""
        while (message := await caller.peer.next()).method != "BYE":
            pass
        return message
