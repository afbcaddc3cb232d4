"""Tests of seamlb; helpers that several of them share have no `test_` before their names."""
