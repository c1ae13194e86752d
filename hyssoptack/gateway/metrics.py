"""Counters and histograms of a gateway, by aioprometheus."""

import aioprometheus

LATENCY_BUCKETS_MS = [
    2, 5, 10, 20, 30, 45, 60, 80, 100, 150, 200, 300, 500, 1000, 2500, 10000,
]  # fmt: skip


class Metrics:
    """The collectors of one gateway; updated on its event loop."""

    def __init__(self) -> None:
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
        self.parts_left_out = self._counter(
            "hyssoptack_parts_left_out_total",
            "Shards that answers were given without, by route.",
        )
        self.request_ms = self._histogram(
            "hyssoptack_request_ms",
            "Time from a request's first byte to its answer, by route.",
        )
        self.call_ms = self._histogram(
            "hyssoptack_upstream_call_ms",
            "Time of an answered call, by service.",
        )
        self.facts = aioprometheus.Gauge(
            "hyssoptack_gateway",
            "Facts of this instance, by name.",
            registry=self._registry,
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        return aioprometheus.Counter(name, doc, registry=self._registry)

    def _histogram(self, name: str, doc: str) -> aioprometheus.Histogram:
        return aioprometheus.Histogram(
            name, doc, buckets=LATENCY_BUCKETS_MS, registry=self._registry
        )

    def page(self) -> bytes:
        """Returns the page of metrics as text."""
        content, _ = aioprometheus.render(self._registry, ["text/plain"])
        return content
