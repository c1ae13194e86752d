"""The course of one request: routes, calls, outcomes and results."""
