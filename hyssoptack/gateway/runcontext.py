"""What a request in progress uses of the instance that runs it."""

import typing

from hyssoptack.core import traffic
from hyssoptack.gateway import callrelay
from hyssoptack.gateway import calltrace
from hyssoptack.gateway import inbound
from hyssoptack.gateway import metrics
from hyssoptack.gateway import refusals
from hyssoptack.gateway import replicatedview
from hyssoptack.http1 import message
from hyssoptack.planning import callcommand
from hyssoptack.planning import plancontext
from hyssoptack.planning import shutdown


class ActiveRun(typing.Protocol):
    """A request in progress, as its instance sees it.

    Attributes:
        fingerprint: Fingerprint of the request.
    """

    fingerprint: str

    def on_partition(self) -> None:
        """Abandons calls to other failure domains, which are unreachable."""

    def on_shutdown(self, started: shutdown.Shutdown) -> None:
        """Ends the request before this process does."""

    def on_quarantined(self) -> None:
        """Fails the request because its fingerprint is quarantined."""


class RunContext(typing.Protocol):
    """The instance that runs a request; `requesthandler` implements it.

    Attributes:
        metrics: The metrics of the instance.
        active_runs: The requests in progress.
        call_relay: Relays calls to other failure domains; `None` before it is
            connected.
        refusals: Answers refused requests.
        shutdown: The shutdown of this process; None while there is none.
    """

    metrics: metrics.Metrics
    active_runs: set[ActiveRun]
    call_relay: callrelay.CallRelay | None
    refusals: refusals.Refusals
    shutdown: shutdown.Shutdown | None

    @property
    def view(self) -> replicatedview.ReplicatedView:
        """The instance's view of configuration and upstreams."""

    @property
    def plan_context(self) -> plancontext.PlanContext:
        """The shared state that call plans use."""

    def connection_limit_count(self, upstream: traffic.Upstream) -> int:
        """Returns this instance's connection limit for an upstream."""

    def stall_fields(self, received_ms: float) -> dict[str, float]:
        """Returns log fields of a stall shortly before or during a request."""

    def can_relay_to(self, failure_domain: str) -> bool:
        """Returns whether calls to a failure domain may be relayed."""

    def counts_as_shed(
        self, trace: calltrace.Trace, outcome: callcommand.Outcome
    ) -> bool:
        """Returns whether a call shows that a service has no room."""

    def record_reply(self, route_name: str, reply: message.Reply) -> None:
        """Records the size of an upstream's reply."""

    def record_lateness(self, late_ms: float) -> None:
        """Records how long after its latency goal an answer was written."""

    def record_end(
        self,
        request: inbound.RoutedRequest,
        status: int,
        in_time: bool,
        shed_count: int,
    ) -> None:
        """Records the end of a request; status 0 if the caller has left."""
