"""Serve the people who run the system."""
