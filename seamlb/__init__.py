"""seamlb: a call agent that routes calls to duty desks, built around one decision module."""

__version__ = "0.1.0"
