"""Transport: connections, listeners and datagrams; knows bytes, no message."""
