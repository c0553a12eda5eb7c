"""Upstreams: their announced state, load and admission of requests."""
