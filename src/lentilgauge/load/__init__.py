"""Drive load and experiments against the system."""
