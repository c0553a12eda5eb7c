"""Hold what runs on an entry VM."""
