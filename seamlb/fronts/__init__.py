"""Fronts: what callers speak, turned into requests for the core."""
