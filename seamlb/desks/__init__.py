"""Desk clients: the protocols that desks speak, driven by the core's attempts."""
