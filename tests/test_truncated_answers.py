"""Answers of servers that stop short on a connection that stays open, directly before the server's next message."""

import asyncio

from seamlb.protocol.sip import Message
from tests.loopback import SDP, DaemonTestCase, Peer, ScriptedDesk, answer, bye, invite, reply

ESTABLISHED, TRUNCATED, REFUSED = (f"00000000000000a{number}" for number in (1, 2, 3))
RELEASE_WITHIN = 1.05  # seconds from the server's release to the caller's (protocol)
LAST_BYTES = (b" 200 ", b" X", b"Call-", b"Call-ID: 0", b"CSeq: 1", b"CSeq: 1 INVITE\r\n", b"Content-Length: ")


def truncated(message: Message, last: bytes) -> bytes:
    """The bytes of a message up to the first occurrence of its last ones."""
    return message.encode().partition(last)[0] + last


class TruncatedAnswers(DaemonTestCase):
    # Review case 2: a caller was told 200 for a call that its server had refused.
    async def test_a_truncated_answer_does_not_change_the_next_one(self) -> None:
        for last in LAST_BYTES:
            with self.subTest(last=last):
                sent: list[Message] = []

                async def script(
                    peer: Peer, message: Message, sent: list[Message] = sent, last: bytes = last
                ) -> None:
                    sent.append(message)
                    if len(sent) == 2:
                        first, second = (reply(one, status) for one, status in zip(sent, (200, 503), strict=True))
                        peer.send(truncated(first, last) + second.encode())

                await self.start(ScriptedDesk(script), ScriptedDesk())
                callers = [await self.caller(), await self.caller()]
                for caller, ident in zip(callers, (TRUNCATED, REFUSED), strict=True):
                    caller.send(invite(ident))
                for caller in callers:
                    final = await caller.next()
                    self.assertTrue(final.status != 200 or final.body == SDP, final)

    # Review case 2: the release was taken for a part of the answer, and its caller was told seconds later or never.
    async def test_a_release_behind_a_truncated_answer_reaches_its_caller_in_time(self) -> None:
        for last in LAST_BYTES:
            with self.subTest(last=last):

                async def script(peer: Peer, message: Message, last: bytes = last) -> None:
                    if message.get("call-id") == ESTABLISHED:
                        await answer(peer, message)
                    else:
                        peer.send(truncated(reply(message, 200), last) + bye(ESTABLISHED, 16).encode())

                await self.start(ScriptedDesk(script))
                caller, other = await self.caller(), await self.caller()
                caller.send(invite(ESTABLISHED))
                await caller.until(200)
                other.send(invite(TRUNCATED))
                async with asyncio.timeout(RELEASE_WITHIN):
                    self.assertIn("cause=16", (await caller.until("BYE")).get("reason"))
