"""Jobs whose tasks run under leases: entries coordinate jobs, agents control the endpoints."""
