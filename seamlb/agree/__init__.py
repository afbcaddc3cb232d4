"""Versions of a site's rules that its agents agree on."""
