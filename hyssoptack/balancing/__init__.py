"""Load balancing: which upstream gets a call."""
