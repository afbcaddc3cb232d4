"""Membership of the fleet by gossip: instances discover each other without a central component."""
