"""Transport layer: connections, listeners and datagrams. It handles bytes and knows no message format."""
