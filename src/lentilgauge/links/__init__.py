"""HTTP clients and servers for the platform, upstreams and peers."""
