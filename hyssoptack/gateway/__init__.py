"""The gateway daemon: routes callers' requests to upstreams."""
