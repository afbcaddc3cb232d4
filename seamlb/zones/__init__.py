"""Zone failover: the fleet leaves a failing zone together and returns to it at a rate that its desks can handle."""
