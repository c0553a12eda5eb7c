"""Stand in for the systems outside the product."""
