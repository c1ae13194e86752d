"""A query tier between callers and very many shards.

The package is a library with thin daemons around it. `core` holds the immutable
records, `policy` the decisions (pure functions of records and the time), and
the other packages the tasks that own sockets and state.
"""
