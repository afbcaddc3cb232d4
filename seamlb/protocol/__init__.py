"""Parsers and state machines without input or output; a clock is passed in where one is needed."""
