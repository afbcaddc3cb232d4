"""The platform front between scripted callers and desks: calls, answers and releases."""

from seamlb import api
from seamlb.protocol.sip import Message
from tests.loopback import (
    SDP,
    DaemonTestCase,
    Peer,
    ScriptedDesk,
    bye,
    invite,
    never_answer,
    refuse,
    reply,
    sip_request,
)

ID = "00000000000000a1"


class PlatformCalls(DaemonTestCase):
    async def test_a_call_is_established_and_the_caller_gets_its_release(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        answer = await caller.until(200)
        self.assertEqual(answer.body, SDP)
        sent = await desk.until("INVITE")
        self.assertEqual((sent.body, sent.get("x-cos"), sent.uri), (b"offer", "a", "sip:1234@net"))
        self.assertLessEqual(int(sent.get("x-timer-ms")), 3000)
        await desk.until("ACK")
        desk.peers[0].send(bye(ID, 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))
        await self.eventually(lambda: self.events("call_end"))
        self.assertEqual(self.events("call_end")[0]["result"], "stood")

    async def test_an_answer_to_a_second_attempt_is_accepted_with_the_desks_own_cseq(self) -> None:
        full, free = ScriptedDesk(refuse(503, ("X-Diagnosis", "atb"))), ScriptedDesk()
        await self.start(full, free)
        caller = await self.caller()
        caller.send(invite(dest=0))
        self.assertEqual((await caller.until(200)).body, SDP)
        await full.until("ACK")
        await free.until("ACK")
        self.assertTrue(free.received.empty(), "a BYE would have ended the call")

    async def test_sip_statuses_map_to_attempt_outcomes(self) -> None:
        for status, note, expected in (
            (503, "acc", (api.Status.FULL, 3)),
            (486, "sub", (api.Status.ERROR, 4)),
            (500, "", (api.Status.ERROR, 0)),
            (480, "atb", (api.Status.NOT_RUN, 1)),
            (504, "", (api.Status.RESET, 0)),
        ):
            with self.subTest(status=status):
                daemon = await self.start(ScriptedDesk(refuse(status, ("X-Diagnosis", note))))
                events: list[api.Event] = []
                handle = daemon.agent.module.handle
                daemon.agent.module.handle = lambda now, e, h=handle, s=events: s.append(e) or h(now, e)
                caller = await self.caller()
                caller.send(invite())
                self.assertEqual((await caller.until(503)).status, 503)
                (ended,) = [one for one in events if isinstance(one, api.Ended)]
                self.assertEqual((ended.status, ended.note), expected)

    async def test_a_call_released_before_its_answer_arrives_is_not_set_up_again(self) -> None:
        """The desk's answer came after its release, and a second desk got a call that had already ended."""

        async def release_first(peer: Peer, message: Message) -> None:
            peer.send(bye(message.get("call-id"), 16))
            peer.send(reply(message, 200, body=SDP))

        first, second = ScriptedDesk(release_first), ScriptedDesk()
        await self.start(first, second)
        caller = await self.caller()
        caller.send(invite())
        answer = await caller.next()
        self.assertEqual((answer.status, answer.get("call-id")), (503, ID))
        await first.until("BYE")  # the late answer is released
        self.assertTrue(second.received.empty())

    async def test_a_truncated_answer_is_not_completed_with_bytes_of_the_next_message(self) -> None:
        """A caller got a session description that contained bytes of the next message."""

        async def truncated(peer: Peer, message: Message) -> None:
            encoded = reply(message, 200, body=SDP).encode()
            peer.send(encoded[:-9] + reply(message, 503).encode())

        await self.start(ScriptedDesk(truncated))
        caller = await self.caller()
        caller.send(invite(timer=1000))
        self.assertNotEqual((await caller.next()).status, 200)
        self.assertIn("malformed", [one["reason"] for one in self.events("connection_end")])

    async def test_a_release_after_a_truncated_answer_reaches_its_caller(self) -> None:
        """The desk sends a release once, on the connection of the set-up, whose framing is lost by then."""
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        desk.script = never_answer
        caller.send(invite("00000000000000a2", timer=5000))
        sent = await desk.until("INVITE")
        sent = await desk.until("INVITE")
        peer = desk.peers[0]
        peer.send(reply(sent, 200, body=b"x" * 400).encode()[:-300])
        peer.send(bye(ID, 16))
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_a_release_truncated_after_its_call_id_reaches_its_caller(self) -> None:
        """The rest of a release never arrived, and the call stayed established."""
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        encoded = bye(ID, 16).encode()
        desk.peers[0].send(encoded[: encoded.index(b"CSeq") + 3])
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))
        await self.eventually(lambda: "slow" in [one["reason"] for one in self.events("connection_end")])

    async def test_a_release_that_crosses_the_end_of_its_connection_reaches_its_caller(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await caller.until(200)
        desk.farewell = bye(ID, 16).encode()
        desk.peers[0].send(b"what is this\r\n\r\n")
        self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))

    async def test_an_answer_that_crosses_the_cancel_is_acked_and_released(self) -> None:
        desk = ScriptedDesk(never_answer)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite(timer=50))
        sent = await desk.until("INVITE")
        self.assertEqual((await caller.until(503)).status, 503)
        await desk.until("CANCEL")
        await ScriptedDesk().script(desk.peers[0], sent)
        await desk.until("ACK")
        await desk.until("BYE")

    async def test_a_refusal_has_retry_after_even_if_callers_are_not_expected_to_honour_it(self) -> None:
        limits = {"AttemptsCap": 4, "MaxRetryAfter": 2000.0, "RetryAfter": False}
        await self.start(ScriptedDesk(refuse(503, ("X-Diagnosis", "atb"))), settings={"Limits": limits})
        caller = await self.caller()
        caller.send(invite())
        self.assertIn((await caller.until(503)).get("retry-after"), ("1", "2"))

    async def test_an_agent_at_its_limit_of_open_calls_answers_with_retry_after(self) -> None:
        limits = {"AttemptsCap": 4, "MaxRetryAfter": 2000.0, "MaxOpen": 1}
        desk = ScriptedDesk(never_answer)
        await self.start(desk, settings={"Limits": limits})
        caller = await self.caller()
        caller.send(invite())
        await desk.until("INVITE")
        caller.send(invite("00000000000000a2"))
        self.assertEqual((await caller.until(503)).get("retry-after"), "1")

    async def test_a_cancel_by_the_caller_cancels_the_attempt(self) -> None:
        desk = ScriptedDesk(never_answer)
        await self.start(desk)
        caller = await self.caller()
        caller.send(invite())
        await desk.until("INVITE")
        caller.send(sip_request("CANCEL"))
        await desk.until("CANCEL")
        await self.eventually(lambda: self.events("call_end"))
        self.assertEqual(self.events("call_end")[0]["result"], "left")

    async def test_a_release_by_the_caller_on_another_connection_ends_the_call(self) -> None:
        desk = ScriptedDesk()
        await self.start(desk)
        first, second = await self.caller(), await self.caller()
        first.send(invite())
        await first.until(200)
        first.close()
        second.send(sip_request("BYE", ID, ("Reason", "Q.850;cause=16")))
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
        # A release sent to a caller that never sent a request would be lost.
        silent_caller, caller = await self.caller(), await self.caller()
        await self.eventually(lambda: len(daemon.front.clients) == 2)
        caller.send(sip_request("OPTIONS", "t"))
        self.assertIn("cause=41", (await caller.until("BYE")).get("reason"))
        silent_caller.send(sip_request("OPTIONS", "t"))
        self.assertEqual((await silent_caller.next()).status, 200)

    async def test_served_callers_keep_their_connections_and_get_releases_before_a_crowd(self) -> None:
        # The idle connection of a served caller was evicted for a crowd that sent one request each, and the release
        # went to one of these.
        desk = ScriptedDesk()
        daemon = await self.start(desk, limits={"sockets": 9})  # allows 3 callers
        first, second = await self.caller(), await self.caller()
        for caller, ident in ((first, ID), (second, "00000000000000a2")):
            caller.send(invite(ident))
            await caller.until(200)
            caller.send(sip_request("ACK", ident))
        for _ in range(4):
            crowd = await self.caller()
            crowd.send(sip_request("OPTIONS", "t"))
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
        caller.send(sip_request("OPTIONS", "t"))
        await caller.until(200)
        desk.peers[0].send(bye("feedfeedfeedfeed", 16))
        self.assertEqual((await caller.until("BYE")).get("call-id"), "feedfeedfeedfeed")

    async def test_a_stall_of_this_process_does_not_extend_the_callers_deadline(self) -> None:
        desk = ScriptedDesk(never_answer)
        daemon = await self.start(desk)
        caller = await self.caller()
        daemon.front.lag.stop()
        daemon.front.lag.due -= 1.0  # as if the event loop had been blocked for 1 s
        caller.send(invite(timer=3000))
        self.assertLess(int((await desk.until("INVITE")).get("x-timer-ms")), 2100)
