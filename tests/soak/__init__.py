"""A soak of restarts: several processes of the program on loopback under faults that one seed draws."""
