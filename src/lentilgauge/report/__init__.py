"""Report how the service level burns."""
