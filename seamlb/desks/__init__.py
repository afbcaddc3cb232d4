"""Desk clients: attempts of the core, carried out towards duty desks."""
