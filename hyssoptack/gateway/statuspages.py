"""The readiness and metrics endpoints of an instance."""

import collections.abc

from hyssoptack.core import clock
from hyssoptack.events import log
from hyssoptack.gateway import metrics
from hyssoptack.http1 import httpserver
from hyssoptack.http1 import message
from hyssoptack.platform import headers

GaugeSource = collections.abc.Callable[[float], dict[str, float]]
"""Returns gauge values by name for a time in milliseconds."""


class StatusPages:
    """Answers readiness checks and metrics requests for one instance."""

    def __init__(
        self,
        collectors: metrics.Metrics,
        is_ready: collections.abc.Callable[[], bool],
        read_gauges: GaugeSource,
    ):
        """Creates the endpoints.

        Args:
            collectors: The instance's metrics.
            is_ready: Returns whether the instance accepts callers.
            read_gauges: Returns the instance's gauges for the metrics page.
        """
        self._metrics = collectors
        self._is_ready = is_ready
        self._read_gauges = read_gauges
        self._last_logged_ready = False

    def answer_readiness(self, exchange: httpserver.Exchange) -> None:
        """Answers the readiness check of the platform's balancer."""
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
        """Answers with the metrics page, whatever the path."""
        for name, value in self._read_gauges(clock.now_ms()).items():
            self._metrics.instance_gauges.set({"name": name}, value)
        page = self._metrics.render_text()
        page_headers = ((b"Content-Type", b"text/plain; version=0.0.4"),)
        exchange.answer(
            message.Reply(status=200, headers=page_headers, body=page)
        )

    def _log_readiness_change(self, ready: bool) -> None:
        if ready != self._last_logged_ready:
            self._last_logged_ready = ready
            log.write(log.Event.READY, ready=ready)
