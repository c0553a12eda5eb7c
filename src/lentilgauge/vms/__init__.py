"""The processes of an entry VM and their parts."""
