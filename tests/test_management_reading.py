"""What the management address makes of bytes."""

import unittest

from seamlb.protocol.http import HttpError, Request, RequestReader


class Reading(unittest.TestCase):
    def read(self, data: bytes) -> Request | None:
        """One way for all cuts: byte by byte, and at once."""
        reader, whole = RequestReader(), RequestReader().feed(data)
        told = [found for at in range(len(data)) if (found := reader.feed(data[at : at + 1]))]
        self.assertEqual(told[:1], [whole] if whole else [])
        return whole

    def test_requests(self) -> None:
        for data, wanted in (
            (b"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n", ("GET", "/a", b"")),
            (b"\r\nGET http://x:1/a/b HTTP/1.1\r\n\r\n", ("GET", "/a/b", b"")),
            (b"POST /a HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc", ("POST", "/a", b"abc")),
            (
                b"POST /a HTTP/1.1\r\ntransfer-ENCODING: Chunked\r\n\r\n2;x\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n",
                ("POST", "/a", b"abc"),
            ),
        ):
            found = self.read(data)
            assert found
            self.assertEqual((found.method, found.path, found.body), wanted)

    def test_what_is_not_whole_is_waited_for(self) -> None:
        for data in (b"", b"GET / HTTP/1.1\r\nHost: x\r\n", b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"):
            self.assertIsNone(self.read(data))

    def test_what_is_no_request_says_how_it_is_answered(self) -> None:
        for data, status in (
            (b"hello\r\n\r\n", 400),
            (b"GET / SIP/2.0\r\n\r\n", 400),
            (b"G/T / HTTP/1.1\r\n\r\n", 400),
            (b"GET / HTTP/2.0\r\n\r\n", 505),
            (b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
            (b"GET / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413),
            (b"GET / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
            (b"GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
            (b"x" * 20000, 431),
        ):
            with self.subTest(data=data[:40]), self.assertRaises(HttpError) as raised:
                RequestReader().feed(data)
            self.assertEqual(raised.exception.status, status)
