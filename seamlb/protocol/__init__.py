"""Parsers and state machines that do no I/O; the caller passes the current time where one is needed."""
