"""Stories of the platform's front and desk client over loopback."""

import asyncio
import socket

from seamlb import api
from seamlb.protocol.sip import Message
from seamlb.routing.model import Answer, Attempt
from tests.loopback import SDP, Peer, ScriptedDesk, Story, bye, invite, plain, refuse, reply, silent
from tests.support import RAW

ID = "00000000000000a1"


class Calls(Story):
    async def test_a_call_stands_and_its_release_reaches_the_caller(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        stands = await caller.until(200)
        self.assertEqual(stands.body, SDP)
        sent = await desk.until("INVITE")
        self.assertEqual((sent.body, sent.get("x-cos"), sent.uri), (b"offer", "a", "sip:1234@net"))
        self.assertLessEqual(int(sent.get("x-timer-ms")), 3000)
        await desk.until("ACK")
        desk.peers[0].send(bye(ID, 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))
        await self.eventually(lambda: self.events("call_end"))
        self.assertEqual(self.events("call_end")[0]["result"], "stood")

    async def test_an_answer_to_a_second_attempt_stands_though_its_cseq_is_the_desks_own(self) -> None:
        full, free = ScriptedDesk(refuse(503, ("X-Diagnosis", "atb"))), ScriptedDesk()
        await self.start(full, free)
        caller = await self.caller()
        caller.send(invite(dest=0))
        self.assertEqual((await caller.until(200)).body, SDP)
        await full.until("ACK")
        await free.until("ACK")
        self.assertTrue(free.seen.empty(), "a BYE would have taken the call down")

    async def test_statuses_become_outcomes(self) -> None:
        for status, note, ends in (
            (503, "acc", (api.Status.FULL, 3)), (486, "sub", (api.Status.ERROR, 4)),
            (500, "", (api.Status.ERROR, 0)), (480, "atb", (api.Status.MOOT, 1)), (504, "", (api.Status.RESET, 0)),
        ):
            with self.subTest(status=status):
                daemon = await self.start(ScriptedDesk(refuse(status, ("X-Diagnosis", note))))
                seen: list[api.Event] = []
                handle = daemon.agent.module.handle
                daemon.agent.module.handle = lambda now, e, h=handle, s=seen: s.append(e) or h(now, e)
                caller = await self.caller()
                caller.send(invite())
                self.assertEqual((await caller.until(503)).status, 503)
                (ended,) = [one for one in seen if isinstance(one, api.Ended)]
                self.assertEqual((ended.status, ended.note), ends)

    async def test_a_whole_exchange_in_single_bytes(self) -> None:
        async def drip(peer: Peer, *messages: Message) -> None:
            for data in (message.encode() for message in messages):
                for place in range(len(data)):
                    peer.send(data[place : place + 1])
                    await asyncio.sleep(0)

        async def script(peer: Peer, message: Message) -> None:
            await drip(peer, reply(message, 100), reply(message, 200, body=SDP), bye(message.get("call-id"), 16))

        daemon = await self.start(ScriptedDesk(script))
        tasks = len(asyncio.all_tasks())
        caller = await self.caller()
        for ident in (ID, "00000000000000a2"):
            await drip(caller, invite(ident), plain("OPTIONS", "t"))
            told = [await caller.next() for _ in range(3)]
            self.assertEqual({(one.method, one.status) for one in told}, {("", 200), ("BYE", 0)})
            self.assertIn(SDP, [one.body for one in told])
        caller.close()
        await self.eventually(lambda: not daemon.front.clients and not daemon.agent.lives)
        await self.eventually(lambda: len(asyncio.all_tasks()) == tasks)

    async def test_a_call_that_is_over_before_its_answer_came_is_not_set_up_again(self) -> None:
        """Seen: the desk's answer was late, its release came first, and a second desk got a call that was over."""
        async def ends_first(peer: Peer, message: Message) -> None:
            peer.send(bye(message.get("call-id"), 16))
            peer.send(reply(message, 200, body=SDP))

        first, second = ScriptedDesk(ends_first), ScriptedDesk()
        await self.start(first, second)
        caller = await self.caller()
        caller.send(invite())
        told = await caller.next()
        self.assertEqual((told.status, told.get("call-id")), (503, ID))
        await first.until("BYE")  # the answer that came after all is taken down
        self.assertTrue(second.seen.empty())

    async def test_an_answer_that_stops_short_is_not_filled_up_with_the_next(self) -> None:
        """Seen: a caller got a description that no desk had made, the next message's bytes in it."""
        async def short(peer: Peer, message: Message) -> None:
            whole = reply(message, 200, body=SDP).encode()
            peer.send(whole[:-9] + reply(message, 503).encode())

        await self.start(ScriptedDesk(short))
        caller = await self.caller()
        caller.send(invite(timer=1000))
        self.assertNotEqual((await caller.next()).status, 200)
        self.assertIn("malformed", [one["reason"] for one in self.events("connection_end")])

    async def test_a_release_behind_an_answer_that_stopped_short_reaches_its_caller(self) -> None:
        """Seen: the desk sends a release once, on the connection of the set-up, whose framing was lost by then."""
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        desk.script = silent
        caller.send(invite("00000000000000a2", timer=5000))
        broken = await desk.until("INVITE")
        broken = await desk.until("INVITE")
        peer = desk.peers[0]
        peer.send(reply(broken, 200, body=b"x" * 400).encode()[:-300])
        peer.send(bye(ID, 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_release_that_is_cut_off_behind_its_calls_name_reaches_its_caller(self) -> None:
        """Seen: pieces of a release came, the rest never did, and the call was left standing."""
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        whole = bye(ID, 16).encode()
        desk.peers[0].send(whole[: whole.index(b"CSeq") + 3])
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))
        await self.eventually(lambda: "slow" in [one["reason"] for one in self.events("connection_end")])

    async def test_a_release_that_crosses_the_end_of_a_connection_reaches_its_caller(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        desk.parting = bye(ID, 16).encode()
        desk.peers[0].send(b"what is this\r\n\r\n")
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_an_answer_that_crosses_our_cancel_is_acked_and_released(self) -> None:
        desk = ScriptedDesk(silent)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite(timer=50))
        sent = await desk.until("INVITE")
        self.assertEqual((await caller.until(503)).status, 503)
        await desk.until("CANCEL")
        await ScriptedDesk().script(desk.peers[0], sent)
        await desk.until("ACK")
        await desk.until("BYE")

    async def test_a_refusal_says_when_to_come_back_though_the_site_expects_no_one_to_heed_it(self) -> None:
        limits = {"AttemptsCap": 4, "MaxRetryAfter": 2000.0, "RetryAfter": False}
        await self.start(ScriptedDesk(refuse(503, ("X-Diagnosis", "atb"))), settings={"Limits": limits})
        caller = await self.caller()
        caller.send(invite())
        self.assertIn((await caller.until(503)).get("retry-after"), ("1", "2"))

    async def test_an_agent_that_holds_all_it_may_says_when_to_come_back(self) -> None:
        limits = {"AttemptsCap": 4, "MaxRetryAfter": 2000.0, "MaxOpen": 1}
        desk = ScriptedDesk(silent)
        await self.start(desk, settings={"Limits": limits})
        caller = await self.caller()
        caller.send(invite())
        await desk.until("INVITE")
        caller.send(invite("00000000000000a2"))
        self.assertEqual((await caller.until(503)).get("retry-after"), "1")

    async def test_a_caller_that_gives_up_cancels_the_attempt(self) -> None:
        desk = ScriptedDesk(silent)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await desk.until("INVITE")
        caller.send(plain("CANCEL"))
        await desk.until("CANCEL")
        await self.eventually(lambda: self.events("call_end"))
        self.assertEqual(self.events("call_end")[0]["result"], "left")

    async def test_a_release_by_the_caller_on_another_connection_cuts_the_call(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        first, second = await self.caller(), await self.caller()
        first.send(invite())
        await first.until(200)
        first.close()
        second.send(plain("BYE", ID, ("Reason", "Q.850;cause=16")))
        await second.until(200)
        await desk.until("BYE")

    async def test_a_release_waits_for_the_next_connection(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        first = await self.caller()
        first.send(invite())
        await first.until(200)
        first.close()
        await self.eventually(lambda: not daemon.front.clients)
        desk.peers[0].send(bye(ID, 41))
        await self.eventually(lambda: daemon.front.releases.pending)
        mute, caller = await self.caller(), await self.caller()  # told to one that never asked it would be lost
        await self.eventually(lambda: len(daemon.front.clients) == 2)
        caller.send(plain("OPTIONS", "t"))
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        mute.send(plain("OPTIONS", "t"))
        self.assertEqual((await mute.next()).status, 200)

    async def test_in_a_crowd_releases_and_places_are_kept_for_callers_that_were_served(self) -> None:
        # A good caller's idle connection gave way to a crowd that asked once, and the release went to one of these.
        desk = ScriptedDesk()
        daemon = await self.start(desk, limits={"sockets": 9})  # 3 callers
        first, second = await self.caller(), await self.caller()
        for caller, ident in ((first, ID), (second, "00000000000000a2")):
            caller.send(invite(ident))
            await caller.until(200)
        for _ in range(4):
            crowd = await self.caller()
            crowd.send(plain("OPTIONS", "t"))
            await crowd.until(200)
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["evicted"] * 3)
        first.close()
        await self.eventually(lambda: len(daemon.front.clients) == 2)
        desk.peers[0].send(bye(ID, 16))
        self.assertEqual((await second.until("BYE")).get("call-id"), ID)

    async def test_the_release_of_a_call_from_before_a_restart_is_passed_on(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(plain("OPTIONS", "t"))
        await caller.until(200)
        desk.peers[0].send(bye("feedfeedfeedfeed", 16))
        self.assertEqual((await caller.until("BYE")).get("call-id"), "feedfeedfeedfeed")


    async def test_a_stall_of_this_process_does_not_stretch_the_callers_time(self) -> None:
        desk = ScriptedDesk(silent)
        daemon = await self.start(desk)
        caller = await self.caller()
        daemon.front.lag.stop()
        daemon.front.lag.due -= 1.0  # as if the last second had gone to something else
        caller.send(invite(timer=3000))
        self.assertLess(int((await desk.until("INVITE")).get("x-timer-ms")), 2100)


class Desks(Story):
    async def test_a_connection_lost_before_the_answer_is_a_reset_and_the_call_goes_on(self) -> None:
        async def breaks(peer, _invite):
            peer.reset()

        bad, good = ScriptedDesk(breaks), ScriptedDesk()
        await self.start(bad, good)
        caller = await self.caller()
        caller.send(invite(dest=0))
        self.assertEqual((await caller.until(200)).body, SDP)
        await self.eventually(lambda: self.events("connection_end"))
        self.assertEqual(self.events("connection_end")[0]["kind"], "desk")

    async def test_a_refused_connection_cuts_what_stood_and_leaves_one_line(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        await desk.stop()
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        reasons = {one["reason"] for one in self.events("connection_end")}
        self.assertIn("refused", reasons)

    async def test_an_address_used_again_by_another_desk_gets_connections_of_its_own(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        gone = self.desk(0, desk.address, api.Availability.GONE)
        daemon.agent.list_changed(api.Scope.DELTA, [gone, self.desk(7, desk.address)])
        await self.eventually(lambda: len(desk.peers) == 2)
        self.assertEqual(list(daemon.desks.links), ["d7"])
        self.warm(daemon, 1)
        caller = await self.caller()
        caller.send(invite(dest=7))
        await caller.until(200)

    async def test_nothing_new_goes_to_a_desk_that_drains(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        drains = self.desk(0, desk.address, api.Availability.DRAINING)
        daemon.agent.list_changed(api.Scope.DELTA, [drains])
        caller = await self.caller()
        caller.send(invite())
        await caller.until(503)
        self.assertTrue(desk.seen.empty())


    async def test_what_stood_at_a_desk_that_is_gone_is_cut_on_both_sides(self) -> None:
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        daemon.agent.list_changed(api.Scope.FULL, [])
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        self.assertIn("cause=41", (await desk.until("BYE")).get("reason"))

    async def test_after_an_answer_that_cannot_be_read_its_connection_is_left_at_once(self) -> None:
        head = b"SIP/2.0 200 OK\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n"
        for spoilt in (
            b"\xfe\x00 noise\r\n\r\n", head + b"Content-Length: -4\r\nContent-Length: 4\r\n\r\n", head + b"\r\n",
            head + b"Content-Length: 3000000000\r\n\r\n" + b"A" * 65536,
            head + b"no colon\r\nContent-Length: 0\r\n\r\n",
            head + b"Content-Length: 40\r\n\r\nstops short", b"SIP/2.0 200 OK\r\nX-Pad: never ends" + b"p" * 99,
        ):
            with self.subTest(spoilt=spoilt[:60]):
                async def spoil(peer: Peer, sent: Message, spoilt: bytes = spoilt) -> None:
                    peer.send(spoilt.replace(b"%s", sent.get("call-id").encode()))  # and it stays open

                await self.start(ScriptedDesk(spoil), ScriptedDesk())
                caller = await self.caller()
                caller.send(invite(timer=9000))
                self.assertEqual((await caller.until(200)).body, SDP)

    async def test_more_than_belongs_to_an_answer_is_dropped(self) -> None:
        async def more(peer: Peer, sent: Message) -> None:
            stranger = Message(status=200, reason="OK", body=b"not theirs", headers=[
                ("Call-ID", "feedfeedfeedfeed"), ("CSeq", "1 INVITE")])
            peer.send(stranger.encode() + 2 * reply(sent, 200, body=SDP).encode())

        desk = ScriptedDesk(more)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        self.assertEqual((await caller.next()).body, SDP)
        caller.send(plain("OPTIONS", "t"))
        self.assertEqual((await caller.next()).cseq()[1], "OPTIONS")  # no second answer in between
        desk.peers[0].send(bye(ID, 16))
        await caller.until("BYE")
        sent = []
        while not desk.seen.empty():
            sent.append(desk.seen.get_nowait())
        self.assertEqual({(one.method, one.get("call-id")) for one in sent if one.method},
                         {("INVITE", ID), ("ACK", ID)})

    async def test_a_connection_on_which_nothing_comes_is_left_when_the_desk_tells_its_state_on_another(self) -> None:
        # Its set-ups waited for their time-outs, which the module took for a jam of a desk that answered
        # all the time on other connections.
        desk, other = ScriptedDesk(silent), ScriptedDesk()
        daemon = await self.start(desk, other)
        caller = await self.caller()
        caller.send(invite(timer=9000))
        await self.eventually(lambda: len(daemon.desks.links["d0"].open) == 2)
        state = [("Call-ID", "0"), ("CSeq", "1 NOTIFY"), ("X-Occupancy", "idle:4;circuits:5")]
        desk.peers[1].send(Message("NOTIFY", "sip:exchange@net", headers=state))
        self.assertEqual((await caller.until(200)).body, SDP)
        self.assertEqual([one["reason"] for one in self.events("connection_end")], ["silent"])

    async def test_nothing_is_written_to_a_connection_that_the_desk_has_ended_already(self) -> None:
        # A set-up written there might have been read: one that may not be repeated had failed for nothing.
        desk = ScriptedDesk()
        daemon = await self.start(desk)
        heard: list[object] = []
        request = daemon.front._read(invite(), ID)
        desk.peers[0].writer.get_extra_info("socket").shutdown(socket.SHUT_RDWR)  # our loop has not seen it yet
        daemon.desks.set_up(Attempt(request, 0, "d0", 3000.0), lambda leg, what: heard.append(what))
        await self.eventually(lambda: heard)
        self.assertEqual(heard, [Answer(SDP)])

    async def test_a_desk_that_hangs_is_left_though_its_connections_come_up(self) -> None:
        hangs, good = ScriptedDesk(silent), ScriptedDesk()
        daemon = await self.start(hangs, good)
        hangs.mute = True
        caller = await self.caller()
        caller.send(invite(timer=9000))
        self.assertEqual((await caller.until(200)).body, SDP)
        self.assertTrue(daemon.desks.links["d0"].dead)
        seen = len(hangs.peers)
        caller.send(invite("00000000000000a2"))  # goes on at once, not at the next try to connect
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a2")
        hangs.mute = False
        await self.eventually(lambda: not daemon.desks.links["d0"].dead)
        self.assertGreater(len(hangs.peers), seen)


class Faults(Story):
    async def test_a_fault_in_one_life_fails_that_call_alone(self) -> None:
        daemon = await self.start(ScriptedDesk())
        handle = daemon.agent.module.handle

        def broken(now: float, event: api.Event) -> list[api.Action]:
            if isinstance(event, api.Demand) and event.call == 1 or isinstance(event, api.ListChange):
                raise ZeroDivisionError
            return handle(now, event)

        daemon.agent.module.handle = broken
        caller = await self.caller()
        caller.send(invite())
        self.assertEqual((await caller.next()).status, 500)
        caller.send(invite("00000000000000a2"))
        self.assertEqual((await caller.until(200)).get("call-id"), "00000000000000a2")
        daemon.agent.list_changed(api.Scope.DELTA, [])  # whoever brings the list goes on
        self.assertEqual([one["where"] for one in self.events("fault")], ["life", "module"])
        self.assertEqual(daemon.agent.unanswered, 0)


class BadInput(Story):
    async def test_bad_messages_get_a_definite_answer(self) -> None:
        await self.start(ScriptedDesk())
        caller = await self.caller()
        for bad, status in (
            (invite(kind="nobody"), 400), (plain("PUBLISH"), 405), (plain("BYE", "unknown"), 481),
            (b"INVITE sip:1@net SIP/2.0\r\nVia: x\r\nCall-ID: 1\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n", 400),
            (b"INVITE sip:1@net SIP/3.0\r\nVia: x\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", 505),
        ):
            caller.send(bad)
            self.assertEqual((await caller.next()).status, status)
        self.assertEqual(self.events("fault"), [])

    async def test_what_cannot_be_read_further_ends_the_connection_with_its_reason(self) -> None:
        daemon = await self.start(ScriptedDesk())
        head = b"INVITE sip:1@net SIP/2.0\r\nVia: x\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\n"
        for bad, status in (
            (head + b"Content-Length: -5\r\n\r\n", 400), (head + b"Content-Length: 99999\r\n\r\n", 513),
            (head + b"\r\n", 400), (b"A" * 20000, 0), (b"\xff\xfe\r\n\r\n", 0),
        ):
            caller = await self.caller()
            caller.send(bad)
            if status:
                self.assertEqual((await caller.next()).status, status)
            with self.assertRaises(EOFError):
                await caller.next()
            caller.close()
        await self.eventually(lambda: len(self.events("connection_end")) == 5)
        self.assertFalse(daemon.front.clients)
        ends = [one["reason"] for one in self.events("connection_end")]
        self.assertEqual(ends, ["malformed"] * 5)
        self.assertEqual(self.events("fault"), [])

    async def test_a_refusal_reaches_a_caller_that_sends_on(self) -> None:
        # A close with input unread resets the connection, and the refusal was lost with it.
        await self.start(ScriptedDesk())
        caller = await self.caller()
        caller.send(plain("INVITE").encode().replace(b"Content-Length: 0", b"Content-Length: 60000000"))
        for _ in range(64):
            caller.send(b"x" * 65536)
            await caller.writer.drain()
        self.assertEqual((await caller.next()).status, 513)
        with self.assertRaises(EOFError):
            await caller.next()

    async def test_an_id_used_twice_on_a_connection_gets_one_answer_and_no_second_attempt(self) -> None:
        desk = ScriptedDesk(silent)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await desk.until("INVITE")
        for _ in range(3):
            caller.send(invite())
            self.assertEqual((await caller.next()).status, 482)
        await desk.until("CANCEL")
        await self.eventually(lambda: self.events("call_end"))
        caller.send(invite())
        self.assertEqual((await caller.next()).status, 482)
        self.assertTrue(desk.seen.empty())

    async def test_one_caller_ends_no_set_up_of_another(self) -> None:
        desk = ScriptedDesk(silent)
        daemon = await self.start(desk)
        caller, other = await self.caller(), await self.caller()
        caller.send(invite())
        sent = await desk.until("INVITE")
        for message, status in ((invite(), 482), (plain("BYE"), 481)):
            other.send(message)
            self.assertEqual((await other.next()).status, status)
        other.send(plain("CANCEL"))
        other.send(plain("OPTIONS", "t"))
        self.assertEqual((await other.next()).status, 200)
        self.assertEqual(len(daemon.front.calls), 1)
        await ScriptedDesk().script(desk.peers[0], sent)
        self.assertEqual((await caller.until(200)).body, SDP)

    async def test_figures_that_no_call_has_are_refused_before_the_module_hears_of_them(self) -> None:
        pools = {"Extra": RAW["Extra"] | {"SkilledPools": [[0], [0]]}}
        daemon = await self.start(ScriptedDesk(), settings=pools)
        caller = await self.caller()
        good = invite()
        changes = [("X-Legs", legs) for legs in (
            "dest:nan;width:1;via:-1", "dest:0;width:inf", "dest:99;width:1", "dest:-3;width:1", "dest:0;width:0",
            "dest:0;width:400", "dest:0;width:-1", "dest:0;via:1e300", "dest:0.5", "x", "",
        )]
        changes += [("X-Timer-Ms", timer) for timer in ("9" * 23, "-5", "soon", "", "nan", "9001")]
        changes += [("Call-ID", "short"), ("Call-ID", "0" * 15 + "\xe9")]
        for name, value in changes:
            headers = [(key, value if key == name else old) for key, old in good.headers]
            caller.send(Message("INVITE", good.uri, headers=headers, body=good.body))
            self.assertEqual((await caller.next()).status, 400, (name, value))
        for uri, body in (("sip:a b@net".replace(" ", "%20"), b""), ("sip:@net", b""), (good.uri, b"x" * 15800)):
            caller.send(Message("INVITE", uri, headers=good.headers, body=body))
            self.assertEqual((await caller.next()).status, 400, uri)
        self.assertEqual(daemon.agent.taken, 0)

    async def test_who_can_be_told_nothing_is_told_by_the_end(self) -> None:
        await self.start(ScriptedDesk())
        caller = await self.caller()
        headers = [one for one in invite().headers if one[0] != "Call-ID"]
        caller.send(Message("INVITE", "sip:1@net", headers=headers))
        with self.assertRaises(EOFError):
            await caller.next()

