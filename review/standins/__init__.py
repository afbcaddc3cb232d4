"""Stand-ins of the review: a duty desk, a notice board, callers, and what starts an agent. Standard library only."""
