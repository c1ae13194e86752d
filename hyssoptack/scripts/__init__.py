"""Command-line entry points; the work is done by the library."""
