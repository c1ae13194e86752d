"""Gauges of one instance for its metrics page."""

import dataclasses

from hyssoptack.gateway import gathererservice
from hyssoptack.gateway import replicatedview
from hyssoptack.gateway import requesthandler
from hyssoptack.http1 import httpserver
from hyssoptack.membership import readerelection
from hyssoptack.platform import keyvalue
from hyssoptack.quarantine import quarantine

WORK_GAUGES = (
    "running_count",
    "busy_connection_slot_count",
    "waiting_call_count",
    "reply_memory_bytes",
    "upstream_call_count",
    "delegated_query_count",
    "delegation_count",
    "relayed_query_count",
    "relay_count",
    "gathered_query_count",
    "waiting_for_view_count",
    "admission_call_count",
    "admission_waiting_count",
)
"""Names of the gauges that count work in progress. Each is 0 once an instance
has had no request for some seconds; another value is work that was lost."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceGauges:
    """The components of an instance that have gauges.

    Attributes:
        view: The replicated view.
        store: Client of the store.
        caller_server: Server for callers.
        request_handler: Handler of callers' requests, with the components that
            it uses.
        gatherer_service: Makes calls for instances of other domains.
        reader_election: Decides which instances read the store.
        suspect_registry: Records of suspected requests.
    """

    view: replicatedview.ReplicatedView
    store: keyvalue.Client
    caller_server: httpserver.Server
    request_handler: requesthandler.RequestHandler
    gatherer_service: gathererservice.GathererService
    reader_election: readerelection.ReaderElection
    suspect_registry: quarantine.SuspectRegistry

    def values(self, now_ms: float) -> dict[str, float]:
        """Returns the gauges by name."""
        admission = self.request_handler.admission
        return {
            **self.view.gauge_values(now_ms),
            **self.request_handler.delegator.loop_watch.gauge_values(),
            **self.view.pools.gauge_values(now_ms),
            **self._work_values(),
            "caller_connection_count": len(self.caller_server.connections),
            "store_call_count": self.store.call_count,
            "instance_count": self.reader_election.instance_count,
            "suspected_count": self.suspect_registry.suspected_count,
            "blocked_count": self.suspect_registry.quarantined_count,
            **(admission.gauge_values() if admission else {}),
        }

    def _work_values(self) -> dict[str, float]:
        """Returns the numbers of requests and calls in progress."""
        upstream_states = self.view.load_balancer.upstream_states.values()
        delegator = self.request_handler.delegator
        call_relay = self.request_handler.call_relay
        return {
            "running_count": len(self.request_handler.active_runs),
            "upstream_call_count": sum(
                each.in_flight_count for each in upstream_states
            ),
            "delegated_query_count": len(delegator.pending),
            "delegation_count": delegator.selector.in_flight_count,
            "relayed_query_count": len(call_relay.pending),
            "relay_count": call_relay.selector.in_flight_count,
            "gathered_query_count": len(self.gatherer_service.active_gathers),
            "waiting_for_view_count": self.view.gate.waiting_count,
        }
