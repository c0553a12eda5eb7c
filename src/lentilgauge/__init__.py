"""Route callers to the servers that own their keys."""
