"""A query tier between callers and a very large number of shards.

The package is a library with thin daemons on top. `core` holds the immutable
records. `planning`, `balancing`, `hedging`, `admission`, `budget`,
`delegation`, `membership`, `quarantine` and `ratelimit` hold the decisions,
pure functions of records and the time. The other packages hold the tasks that
own sockets and state.
"""
