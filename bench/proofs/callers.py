"""Callers that send searches and actions and record the replies."""

import concurrent.futures
import dataclasses
import itertools
import threading
import time

import urllib3

from bench import fleet
from hyssoptack.core import keyspace
from hyssoptack.membership import ownership
from hyssoptack.standins import records

CALL_LIMIT_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """A reply to a search or an action.

    Attributes:
        status: HTTP status; 0 if the connection was cut.
        body: JSON body.
        elapsed_ms: Time from sending the request to the complete response.
        retry_after: Value of the Retry-After header, or empty.
        started_s: Monotonic time at which the request was sent.
    """

    status: int
    body: dict
    elapsed_ms: float
    retry_after: str = ""
    started_s: float = 0.0

    def execution_status(self) -> str:
        """Returns the execution status that the reply states, or `cut`."""
        return self.body.get("ran", "cut")


def _call(pool: urllib3.PoolManager, url: str, body, headers) -> Reply:
    started_s = time.monotonic()
    try:
        response = pool.request(
            "POST", url, json=body, headers=headers, timeout=CALL_LIMIT_S
        )
        status, document = response.status, response.json()
        retry_after = response.headers.get("Retry-After", "")
    except (urllib3.exceptions.HTTPError, ValueError) as error:
        status, document, retry_after = 0, {"error": repr(error)}, ""
    return Reply(
        status=status,
        body=document,
        elapsed_ms=(time.monotonic() - started_s) * 1000,
        retry_after=retry_after,
        started_s=started_s,
    )


class CallerClient:
    """A client of the instances of a fleet."""

    def __init__(self, run: fleet.Fleet):
        self._run = run
        self._pool = urllib3.PoolManager(
            num_pools=50, maxsize=64, retries=False
        )

    def search(self, front: str, service: str, text: str, **body) -> Reply:
        """Sends a search to an instance and returns the reply."""
        url = f"http://{front}/services/{service}/search"
        return _call(self._pool, url, {"text": text, **body}, {})

    def act(
        self, front: str, service: str, key: str, subject: str, **body
    ) -> Reply:
        """Sends an action to an instance and returns the reply."""
        url = f"http://{front}/services/{service}/actions"
        document = {"subject": subject, "request": {"for": subject}, **body}
        return _call(self._pool, url, document, {"Idempotency-Key": key})

    def front_address(self, instance_id: str) -> str:
        """Returns the address at which an instance serves callers."""
        return self._run.instance(instance_id)["front_address"]


class LoadGenerator:
    """Sends searches through the balancer in several threads until stopped."""

    def __init__(
        self,
        run: fleet.Fleet,
        service: str,
        texts: tuple[str, ...],
        thread_count: int,
        pause_s: float = 0.0,
        keep_alive: bool = True,
        **body,
    ):
        self._run = run
        self._service = service
        self._texts = itertools.cycle(texts)
        self._pause_s = pause_s
        self._body = body
        self._headers = {} if keep_alive else {"Connection": "close"}
        self._stopping = threading.Event()
        # A test that fails does not stop it, and its threads end with it.
        run.on_stop.append(self._stopping.set)
        self._lock = threading.Lock()
        # Set before the threads start, because they append to it.
        self.replies: list[tuple[str, Reply]] = []
        self._threads = concurrent.futures.ThreadPoolExecutor(thread_count)
        self._futures = [
            self._threads.submit(self._loop) for _ in range(thread_count)
        ]

    def _loop(self) -> None:
        pool = urllib3.PoolManager(retries=False)
        url = f"http://{self._run.balancer_address}/services/{self._service}/search"
        while not self._stopping.is_set():
            with self._lock:
                text = next(self._texts)
            body = {"text": text, **self._body}
            reply = _call(pool, url, body, self._headers)
            with self._lock:
                self.replies.append((text, reply))
            time.sleep(self._pause_s)

    def stop(self) -> list[tuple[str, Reply]]:
        """Stops and returns all replies with the texts searched for."""
        self._stopping.set()
        for each in self._futures:
            each.result()
        self._threads.shutdown()
        return self.replies


def upstream_for(run: fleet.Fleet, service: str, subject: str) -> str:
    """Returns the id of the upstream that executes actions on a subject."""
    key = keyspace.key_of(subject)
    for shard in run.catalog.services[service].shards:
        if shard.key_range.contains(key):
            return shard.upstream_ids[0]
    raise AssertionError(f"no shard for {subject}")


def owners_for(
    run: fleet.Fleet, upstream_id: str, owner_count: int
) -> list[str]:
    """Returns the ids of the instances that own an upstream."""
    for service in run.catalog.services.values():
        for column in ownership.columns(service, 40):
            if upstream_id in column.upstream_ids:
                names = tuple(
                    sorted(
                        each["instance_id"]
                        for each in run.instances
                        if each["failure_domain"] == column.failure_domain
                    )
                )
                return list(
                    ownership.owners(column.column_id, names, owner_count)
                )
    raise AssertionError(f"no column for {upstream_id}")


def subject_for_upstream(
    run: fleet.Fleet, service: str, upstream_id: str, number: int
) -> str:
    """Returns a subject whose actions an upstream executes."""
    for attempt in itertools.count():
        subject = f"subject {number}.{attempt}"
        if upstream_for(run, service, subject) == upstream_id:
            return subject
    raise AssertionError


def expected_hits(
    service: str, text: str, body: dict, limit: int = 10
) -> list[tuple[int, str]]:
    """Returns the correct hits for the ranges and version of a response."""
    hits = []
    for low, high in body["covered_ranges"]:
        hits.extend(
            records.search(
                service, text, low, high, body["index_version"], 10_000
            )
        )
    hits.sort(key=lambda hit: (-hit[1], hit[0], hit[2]))
    return [(key, title) for key, _, title in hits[:limit]]


def response_hits(body: dict) -> list[tuple[int, str]]:
    """Returns the hits of a response in the form of `expected_hits`."""
    return [(hit["key"], hit["title"]) for hit in body["hits"]]
