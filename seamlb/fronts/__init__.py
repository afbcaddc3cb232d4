"""Fronts: the protocols that callers speak, translated into requests for the core."""
