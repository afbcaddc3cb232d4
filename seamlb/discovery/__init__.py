"""Discovery: where the list of duty desks comes from."""
