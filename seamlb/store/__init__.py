"""Persisted state: complete after a kill, and disk faults are detected."""
