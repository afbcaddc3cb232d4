"""cottonhinge: the decisions of a call controller in an access node before a few core servers."""

from cottonhinge.choice import Controller

__all__ = ["Controller"]
