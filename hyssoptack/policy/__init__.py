"""Decisions: no sockets, no clock, no threads."""
