"""Upstream connections: slots, queues, deadlines and cancellation."""
