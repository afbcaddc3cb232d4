"""Staged rollout: moves a fleet to another version or configuration in stages and rolls back on a regression."""
