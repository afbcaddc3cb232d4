"""Agents, desks and callers on a virtual clock: the real agent and decision module, everything else a stand-in."""
