"""A query tier between callers and a very large number of shards.

The package is a library with thin daemons on top. `core` holds the immutable
records, `policy` holds the decisions (pure functions of records and the time),
and the other packages hold the tasks that own sockets and state.
"""
