"""The gateway daemon: takes callers' requests and calls upstreams."""
