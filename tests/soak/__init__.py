"""Soak test of restarts: several agent processes on loopback under faults generated from one seed."""
