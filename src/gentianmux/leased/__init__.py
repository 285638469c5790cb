"""Jobs whose tasks run under leases: an entry coordinates, agents guard the endpoints."""
