"""Calls to upstreams: connections, slots, queues, deadlines, cancellation."""
