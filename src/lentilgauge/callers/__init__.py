"""Take a caller's request from admission to its answer."""
