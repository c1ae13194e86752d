"""Numbered log events and their writer."""
