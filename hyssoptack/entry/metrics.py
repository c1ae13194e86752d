"""Prometheus metrics of one instance, updated on the event loop."""

import aioprometheus

LATENCY_BUCKETS_MS = [
    1, 2, 5, 10, 20, 30, 40, 50, 62, 80, 100, 150, 200, 300, 400, 600, 1000,
]  # fmt: skip


class Metrics:
    """The collectors of one instance and their registry."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.requests = aioprometheus.Counter(
            "hyssoptack_requests_total",
            "Requests by service, kind and result.",
            registry=self.registry,
        )
        self.upstream_calls = aioprometheus.Counter(
            "hyssoptack_upstream_calls_total",
            "Calls made for queries, by service.",
            registry=self.registry,
        )
        self.extra_calls = aioprometheus.Counter(
            "hyssoptack_extra_upstream_calls_total",
            "Calls beyond the first of each shard, by service.",
            registry=self.registry,
        )
        self.answer_latency_ms = aioprometheus.Histogram(
            "hyssoptack_answer_latency_ms",
            "Time from admission to the whole answer, by service.",
            buckets=LATENCY_BUCKETS_MS,
            registry=self.registry,
        )
        self.last_coverage_ratio = aioprometheus.Gauge(
            "hyssoptack_last_coverage_ratio",
            "Coverage of the last answer, by service.",
            registry=self.registry,
        )
        self.refusal_write_ms = aioprometheus.Histogram(
            "hyssoptack_refusal_write_ms",
            "Time from the decision to refuse until the answer is written.",
            buckets=[0.1, 0.2, 0.5, 1, 2, 5, 10, 50, 100],
            registry=self.registry,
        )
        self.instance_facts = aioprometheus.Gauge(
            "hyssoptack_instance",
            "Facts of this instance, by name.",
            registry=self.registry,
        )

    def render(self, accept_header: str) -> tuple[bytes, dict[str, str]]:
        """Returns the encoded metrics and the response headers.

        Args:
            accept_header: Value of the request's `Accept` header.
        """
        return aioprometheus.render(self.registry, [accept_header])
