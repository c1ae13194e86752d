"""Messaging between instances: links, codec and gossip."""
