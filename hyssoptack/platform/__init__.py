"""The adapter: everything that knows the users' platform by its names."""
