"""The core: requests, attempts and outcomes; independent of wire formats, sockets and headers."""
