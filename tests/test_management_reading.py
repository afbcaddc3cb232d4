"""Tests of the HTTP request parser of the management address."""

import unittest

from seamlb.protocol.http import HttpError, Request, RequestReader


class RequestReaderTest(unittest.TestCase):
    def parse(self, data: bytes) -> Request | None:
        """Parses the data at once and byte by byte; both must give the same request."""
        reader, request = RequestReader(), RequestReader().feed(data)
        requests = [parsed for at in range(len(data)) if (parsed := reader.feed(data[at : at + 1]))]
        self.assertEqual(requests[:1], [request] if request else [])
        return request

    def test_valid_requests(self) -> None:
        for data, expected in (
            (b"GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n", ("GET", "/a", b"")),
            (b"\r\nGET http://x:1/a/b HTTP/1.1\r\n\r\n", ("GET", "/a/b", b"")),
            (b"POST /a HTTP/1.0\r\nContent-Length: 3\r\n\r\nabc", ("POST", "/a", b"abc")),
            (
                b"POST /a HTTP/1.1\r\ntransfer-ENCODING: Chunked\r\n\r\n2;x\r\nab\r\n1\r\nc\r\n0\r\nT: 1\r\n\r\n",
                ("POST", "/a", b"abc"),
            ),
        ):
            request = self.parse(data)
            assert request
            self.assertEqual((request.method, request.path, request.body), expected)

    def test_incomplete_requests_give_none(self) -> None:
        for data in (b"", b"GET / HTTP/1.1\r\nHost: x\r\n", b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab"):
            self.assertIsNone(self.parse(data))

    def test_invalid_requests_raise_an_error_with_the_response_status(self) -> None:
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
