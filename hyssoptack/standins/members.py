"""A stand-in for the platform's instance list, with a configurable lag.

It polls the status of each instance at its operator port and publishes the
result after the lag. Each failure domain reads its own view, in which instances
of other domains have addresses of the wide-area network stand-in.
"""

import asyncio
import collections
import dataclasses
import hashlib
import json
import time

import aiohttp
import cyclopts
from aiohttp import web

from hyssoptack.standins import web as standin_web

MS_PER_S = 1000.0
POLL_MS = 150.0
POLL_LIMIT_S = 0.5
FAILED_POLL_LIMIT_COUNT = 3
"""Consecutive failed polls after which an instance is removed from the list."""


@dataclasses.dataclass(kw_only=True)
class Faults:
    """Active faults; a POST to /faults changes any field.

    Attributes:
        outage: Whether no request gets a response.
        cut_domains: Failure domains whose requests get no response.
        lag_ms: Time from a poll to the publication of its result.
        leaving_upstream_ids: Upstreams that the list reports as leaving.
    """

    outage: bool = False
    cut_domains: list[str] = dataclasses.field(default_factory=list)
    lag_ms: float = 1_000.0
    leaving_upstream_ids: list[str] = dataclasses.field(default_factory=list)


class Members:
    """The instance list: polls, history of results and views of the domains."""

    def __init__(
        self,
        operators: list[str],
        views: dict[str, dict[str, str]],
        lag_ms: float,
    ):
        self._operators = operators
        self._views = views
        self._faults = Faults(lag_ms=lag_ms)
        self._statuses: dict[str, dict] = {}
        self._failed_polls: collections.Counter[str] = collections.Counter()
        self._history: collections.deque = collections.deque()
        self._published: list[dict] = []
        self.read_count = 0

    def runner(self, domain: str) -> web.AppRunner:
        """Returns an application that serves the view of a failure domain."""
        application = web.Application()
        application["domain"] = domain
        application.router.add_get("/members", self._get_members)
        application.router.add_post("/faults", self._change_faults)
        application.on_startup.append(self._start)
        return web.AppRunner(application, access_log=None)

    async def _start(self, application: web.Application) -> None:
        if application["domain"] == next(iter(self._views)):
            application["poll"] = asyncio.ensure_future(self._poll())

    async def _poll(self) -> None:
        timeout = aiohttp.ClientTimeout(total=POLL_LIMIT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                await asyncio.gather(
                    *(
                        self._poll_instance(session, each)
                        for each in self._operators
                    )
                )
                now_s = time.monotonic()
                self._history.append((now_s, list(self._statuses.values())))
                horizon_s = now_s - self._faults.lag_ms / MS_PER_S
                while self._history and self._history[0][0] <= horizon_s:
                    self._published = self._history.popleft()[1]
                await asyncio.sleep(POLL_MS / MS_PER_S)

    async def _poll_instance(
        self, session: aiohttp.ClientSession, address: str
    ) -> None:
        try:
            async with session.get(f"http://{address}/status") as response:
                status = await response.json()
        except (TimeoutError, aiohttp.ClientError, OSError):
            self._failed_polls[address] += 1
            if self._failed_polls[address] >= FAILED_POLL_LIMIT_COUNT:
                self._statuses.pop(address, None)
            return
        self._failed_polls[address] = 0
        self._statuses[address] = {
            name: status[name]
            for name in (
                "instance_id",
                "incarnation",
                "failure_domain",
                "peer_address",
                "operator_address",
                "leaving",
            )
        }

    async def _get_members(self, request: web.Request) -> web.Response:
        domain = request.app["domain"]
        if self._faults.outage or domain in self._faults.cut_domains:
            return standin_web.abort_connection(request)
        self.read_count += 1
        view = self._views[domain]
        members = [
            {
                **each,
                "peer_address": view.get(
                    each["instance_id"], each["peer_address"]
                ),
            }
            for each in self._published
        ]
        listing = {
            "members": members,
            "leaving_upstream_ids": self._faults.leaving_upstream_ids,
        }
        text = json.dumps(listing, sort_keys=True)
        etag = hashlib.sha256(text.encode()).hexdigest()[:16]
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304)
        return standin_web.json_response(listing, ETag=etag)

    async def _change_faults(self, request: web.Request) -> web.Response:
        for name, value in (await request.json()).items():
            if not hasattr(self._faults, name):
                return standin_web.json_response({"unknown": name}, status=400)
            setattr(self._faults, name, value)
        return standin_web.json_response(dataclasses.asdict(self._faults))


application = cyclopts.App(name="hyssoptack-standin-members")


@application.default
def main(
    *,
    listen: list[str],
    operator: list[str],
    views: str,
    lag_ms: float = 1_000.0,
) -> None:
    """Serves the list until the process ends.

    Args:
        listen: DOMAIN=IP:PORT, repeated for each failure domain.
        operator: Operator addresses of all instances.
        views: JSON object: for each domain, peer addresses by instance id.
        lag_ms: Time from a poll to the publication of its result.
    """
    members = Members(operator, json.loads(views), lag_ms)
    pairs = [each.split("=", 1) for each in listen]
    standin_web.serve_forever(
        [(members.runner(domain), address) for domain, address in pairs]
    )


if __name__ == "__main__":
    application()
