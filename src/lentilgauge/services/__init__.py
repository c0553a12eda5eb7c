"""Services, their routes, keys, slots and key ranges."""
