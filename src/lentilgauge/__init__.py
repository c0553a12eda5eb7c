"""Route requests to the upstreams that own their keys."""
