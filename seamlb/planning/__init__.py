"""Capacity planning: which desks open, which classes each desk handles, and how calls are distributed among them."""
