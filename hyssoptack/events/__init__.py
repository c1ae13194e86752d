"""Numbered log events and how they are written."""
