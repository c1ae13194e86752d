"""What the connection pools of all upstreams have in common."""

import collections.abc

from hyssoptack.core import traffic
from hyssoptack.gateway import callrequest
from hyssoptack.http1 import replymemory

OnUpstreamExit = collections.abc.Callable[
    [traffic.Upstream, tuple[callrequest.CallRequest, ...]], None
]
"""Called with an upstream that has exited and the calls it had in progress."""


def _ignore(
    _upstream: traffic.Upstream, _jobs: tuple[callrequest.CallRequest, ...]
) -> None:
    """Ignores an upstream's exit when no handler is set."""


class PoolContext:
    """What the pools of all upstreams have in common.

    Attributes:
        opened_count: Number of attempts to open a connection.
        on_upstream_exit: Called with an upstream that has exited and the calls
            it had in progress.
        run_when_current: Runs a function once the view is current.
        reply_memory: Limits the memory of incomplete replies.
    """

    def __init__(self) -> None:
        self.opened_count = 0
        self.on_upstream_exit: OnUpstreamExit = _ignore
        self.run_when_current = callrequest.run_at_once
        self.reply_memory = replymemory.ReplyMemory()
