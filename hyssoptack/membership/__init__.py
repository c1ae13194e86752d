"""Instances: who is live, who reads the store, who owns what."""
