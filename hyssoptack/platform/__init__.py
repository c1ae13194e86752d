"""Adapter to the platform: its header names, store keys and data formats."""
