"""Keep the leases between controllers and upstreams."""
