"""What an instance says of itself: whether it is ready, and its metrics."""

import collections.abc

from hyssoptack.core import clock
from hyssoptack.events import log
from hyssoptack.gateway import metrics
from hyssoptack.http1 import httpserver
from hyssoptack.http1 import message
from hyssoptack.platform import headers

GaugeSource = collections.abc.Callable[[float], dict[str, float]]
"""Returns facts of the instance by name, at a time."""


class StatusPages:
    """The pages of one instance."""

    def __init__(
        self,
        collectors: metrics.Metrics,
        is_ready: collections.abc.Callable[[], bool],
        read_gauges: GaugeSource,
    ):
        """Makes the pages.

        Args:
            counted: The instance's metrics.
            is_ready: Whether it takes callers.
            facts: Returns what else the page of metrics shows.
        """
        self._metrics = collectors
        self._is_ready = is_ready
        self._read_gauges = read_gauges
        self._last_logged_ready = False

    def answer_readiness(self, exchange: httpserver.Exchange) -> None:
        """Tells the balancer whether to send callers."""
        if exchange.request.path != headers.READINESS_PATH:
            exchange.answer(message.problem_reply(404, "unknown_path"))
            return
        ready = self._is_ready()
        self._log_readiness_change(ready)
        if ready:
            reply = message.Reply(status=200, headers=(), body=b"")
        else:
            reply = message.problem_reply(503, "not_ready")
        exchange.answer(reply)

    def answer_metrics(self, exchange: httpserver.Exchange) -> None:
        """Shows the metrics, at any path."""
        for name, value in self._read_gauges(clock.now_ms()).items():
            self._metrics.instance_facts.set({"name": name}, value)
        page = self._metrics.render_text()
        page_headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        exchange.answer(
            message.Reply(status=200, headers=page_headers, body=page)
        )

    def _log_readiness_change(self, ready: bool) -> None:
        if ready != self._last_logged_ready:
            self._last_logged_ready = ready
            log.write(log.Event.READY, ready=ready)
