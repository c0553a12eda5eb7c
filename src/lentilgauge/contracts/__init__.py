"""Leases and ownership records that govern who may serve a key."""
