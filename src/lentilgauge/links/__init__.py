"""Speak to the platform, upstreams and peers over HTTP."""
