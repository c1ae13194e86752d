"""Prometheus metrics of a gateway, collected with aioprometheus."""

import collections
import collections.abc

import aioprometheus

LATENCY_BUCKETS_MS = [
    2, 5, 10, 20, 30, 45, 60, 80, 100, 150, 200, 300, 500, 1000, 2500, 10000,
]  # fmt: skip
"""Upper bounds of the buckets of all duration histograms."""

MAX_BUFFERED_CALL_COUNT = 4_000
"""Maximum number of buffered calls if the metrics page is not read: about 100
queries over 36 shards, 0.4 MB."""


class Metrics:
    """The metric collectors of one gateway, updated on its event loop.

    Attributes:
        on_render: Called before the metrics are rendered, to update them.
    """

    def __init__(self) -> None:
        self._calls: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._call_ms: list[tuple[str, float]] = []
        self._registry = aioprometheus.Registry()
        self.requests = self._counter(
            "hyssoptack_requests_total",
            "Callers' requests, by route and status.",
        )
        self.calls = self._counter(
            "hyssoptack_upstream_calls_total",
            "Calls to upstreams, by service and outcome.",
        )
        self.extra_calls = self._counter(
            "hyssoptack_extra_calls_total",
            "Calls beyond the first of a part, by service and cause.",
        )
        self.missing_parts = self._counter(
            "hyssoptack_parts_left_out_total",
            "Shards that answers were given without, by route.",
        )
        self.requests_at_attempt_limit = self._counter(
            "hyssoptack_requests_at_attempt_limit_total",
            "Requests of which a part took all attempts allowed, by route.",
        )
        self.admission_refusals = self._counter(
            "hyssoptack_admission_refusals_total",
            "Requests refused or declined for lack of room, by cause.",
        )
        self.upstream_exits = self._counter(
            "hyssoptack_upstreams_ended_total",
            "Upstreams that ended with calls of ours in hand, by service.",
        )
        self.suspicion_events = self._counter(
            "hyssoptack_suspicions_total",
            "Requests suspected, blocked, refused, tried, cleared, forgotten.",
        )
        self.rate_limit_refusals = self._counter(
            "hyssoptack_rate_limit_refusals_total",
            "Requests refused because of a rate limit, by team and cause.",
        )
        self.rate_limit_events = self._counter(
            "hyssoptack_rate_limit_events_total",
            "Permits asked for, tokens transferred, owners changed.",
        )
        self.rate_limit_tokens = self._gauge(
            "hyssoptack_rate_limit_tokens",
            "Tokens in the buckets that this instance owns, by team.",
        )
        self.rate_limit_permits = self._gauge(
            "hyssoptack_rate_limit_permits",
            "Permits that this instance holds ahead of demand, by team.",
        )
        self.request_ms = self._histogram(
            "hyssoptack_request_ms",
            "Time from a request's first byte to its answer, by route.",
        )
        self.call_ms = self._histogram(
            "hyssoptack_upstream_call_ms",
            "Time of an answered call, by service.",
        )
        self.instance_gauges = self._gauge(
            "hyssoptack_gateway", "Facts of this instance, by name."
        )
        self.on_render: list[collections.abc.Callable[[Metrics], None]] = []

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> aioprometheus.Gauge:
        return aioprometheus.Gauge(name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, doc, buckets=LATENCY_BUCKETS_MS, registry=self._registry
        )

    def record_call(
        self, service: str, outcome: str, answered_ms: float | None
    ) -> None:
        """Buffers a call, which is counted when the metrics are next rendered.

        A query makes dozens of calls while its caller waits, and aioprometheus
        takes about 40 us to count one: a fifth of the call's other cost.

        Args:
            service: The service called.
            outcome: The outcome of the call.
            answered_ms: Duration of the call, or None if it was not answered.
        """
        self._calls[service, outcome] += 1
        if answered_ms is not None:
            self._call_ms.append((service, answered_ms))
            if len(self._call_ms) >= MAX_BUFFERED_CALL_COUNT:
                self._flush_calls()

    def _flush_calls(self) -> None:
        for (service, outcome), count in self._calls.items():
            self.calls.add({"service": service, "outcome": outcome}, count)
        self._calls.clear()
        for service, answered_ms in self._call_ms:
            self.call_ms.observe({"service": service}, answered_ms)
        self._call_ms.clear()

    def render_text(self) -> bytes:
        """Returns the metrics in the Prometheus text format."""
        self._flush_calls()
        for update in self.on_render:
            update(self)
        content, _ = aioprometheus.render(self._registry, ["text/plain"])
        return content
