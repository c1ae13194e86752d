"""Requests that crash upstreams."""
