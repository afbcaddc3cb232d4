"""State on disk that a kill or a lying disk can't mislead."""
