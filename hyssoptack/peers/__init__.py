"""Messages between instances: links, codec and gossip."""
