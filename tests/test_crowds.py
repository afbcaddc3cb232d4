"""The limit of memory holds for any crowd, and usual callers are answered beside it (issue 53, pictures a and b)."""

from tests.crowd_case import CrowdCase

CLIENTS = 400
SECONDS = 4.0


class Crowds(CrowdCase):
    async def play_and_check(self, kind: str, front: str) -> None:
        await self.start_agent()
        await self.play(front, kind, CLIENTS, SECONDS)
        self.assert_within_memory()
        self.assert_answered_in_time()

    # Guards against picture (a): hundreds of such clients took a process over its memory limit.
    async def test_clients_whose_messages_never_end(self) -> None:
        await self.play_and_check("endless", "platform")

    async def test_clients_that_stop_within_a_large_request(self) -> None:
        await self.play_and_check("half", "platform")

    async def test_clients_that_write_slowly(self) -> None:
        await self.play_and_check("slow", "platform")

    async def test_heads_of_very_many_short_fields(self) -> None:
        await self.play_and_check("fields", "platform")

    async def test_heads_of_very_many_short_fields_at_the_sip_front(self) -> None:
        await self.play_and_check("fields", "tcp")

    async def test_large_requests_that_are_refused(self) -> None:
        await self.play_and_check("refused", "platform")

    async def test_large_requests_that_are_refused_at_the_sip_front(self) -> None:
        await self.play_and_check("refused", "tcp")

    async def test_clients_that_never_read(self) -> None:
        await self.play_and_check("unread", "platform")

    # These take the room for calls, so usual ones may be refused or turned away; the limit of memory holds.
    async def test_large_requests_that_are_valid(self) -> None:
        await self.start_agent()
        await self.play("platform", "large", CLIENTS, SECONDS)
        self.assert_within_memory()

    async def test_large_requests_that_are_valid_at_the_sip_front(self) -> None:
        await self.start_agent()
        await self.play("tcp", "large", CLIENTS, SECONDS)
        self.assert_within_memory()


class OneClient(CrowdCase):
    async def play_and_check(self, kind: str, front: str) -> None:
        await self.start_agent()
        await self.play(front, kind, 1, SECONDS)
        self.assert_within_memory()
        self.assert_answered_in_time()

    # Guards against picture (b): one client at full speed made others wait, or memory grew.
    async def test_small_requests_under_ever_new_names(self) -> None:
        await self.play_and_check("small", "platform")

    async def test_unsound_requests_under_ever_new_names(self) -> None:
        await self.play_and_check("unsound", "platform")

    async def test_small_requests_at_the_sip_front(self) -> None:
        await self.play_and_check("small", "tcp")

    async def test_unsound_requests_at_the_sip_front(self) -> None:
        await self.play_and_check("unsound", "tcp")

    async def test_large_unsound_requests_at_the_sip_front(self) -> None:
        await self.play_and_check("refused", "tcp")

    async def test_heads_of_very_many_short_fields_at_the_sip_front(self) -> None:
        await self.play_and_check("fields", "tcp")
