"""Bad clients as a process: `bad_clients_2.py ADDRESS CLIENTS SECONDS` sends set-ups whose head never ends.

Each client sends at full speed, reads whatever it is sent, and connects again as soon as its connection has ended.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time

START = b"INVITE sip:1@net SIP/2.0\r\nX-Noise: "
CHUNK = b"x" * 65536


class BadClient:
    """One client."""

    def __init__(self, address: tuple[str, int], selector: selectors.BaseSelector) -> None:
        self.address, self.selector = address, selector
        self.connect()

    def connect(self) -> None:
        """Open a connection."""
        self.unsent = START
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(self.address)
        self.selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)

    def ready(self, events: int) -> None:
        """Read and send what is possible."""
        try:
            if events & selectors.EVENT_READ and not self.socket.recv(65536):
                raise ConnectionError
            if events & selectors.EVENT_WRITE:
                self.unsent = self.unsent[self.socket.send(self.unsent) :] or CHUNK
        except BlockingIOError:
            pass
        except OSError:
            self.selector.unregister(self.socket)
            self.socket.close()
            self.connect()


def main() -> None:
    """Run the clients."""
    host, _, port = sys.argv[1].rpartition(":")
    end = time.monotonic() + float(sys.argv[3])
    with selectors.DefaultSelector() as selector:
        for _ in range(int(sys.argv[2])):
            BadClient((host, int(port)), selector)
        while time.monotonic() < end:
            for key, events in selector.select(0.1):
                key.data.ready(events)


if __name__ == "__main__":
    main()
