"""Agreement of the agents of a site on versions of its rules."""
