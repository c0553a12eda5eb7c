"""Request path: admission, upstream selection, attempts and answers."""
