"""Describe services, their kinds of request and their slots."""
