"""Know which failure domains may take work."""
