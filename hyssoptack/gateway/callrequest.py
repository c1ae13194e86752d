"""One call to an upstream, as the connection pools carry it out."""

import collections.abc
import dataclasses

from hyssoptack.core import traffic
from hyssoptack.http1 import httpclient


@dataclasses.dataclass(frozen=True, kw_only=True)
class CallRequest:
    """One call to an upstream.

    Attributes:
        upstream: The upstream to call.
        build_request: Returns the bytes of the whole request.
        request_id: The id that the reply must carry.
        is_head: Whether it is a HEAD request.
        needs_new_connection: Whether the call must not use an idle connection,
            as its request may run only once.
        needs_recent_connection: Whether the call may only use a connection that
            worked recently.
        on_outcome: Called once with the outcome.
        fingerprint: Fingerprint of the request's content; empty if the call is
            not tracked when its upstream exits.
    """

    upstream: traffic.Upstream
    build_request: collections.abc.Callable[[], bytes]
    request_id: bytes
    is_head: bool
    needs_new_connection: bool
    needs_recent_connection: bool
    on_outcome: httpclient.Sink
    fingerprint: str = ""


def run_at_once(function: collections.abc.Callable[[], None]) -> None:
    """Calls a function at once, where no call needs to be held back."""
    function()
