"""Leaf connections: slots, queues, deadlines and cancellation."""
