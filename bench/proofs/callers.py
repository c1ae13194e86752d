"""Callers for the proofs: searches and actions, with what came back."""

import concurrent.futures
import dataclasses
import itertools
import threading
import time

import urllib3

from bench import fleet
from hyssoptack.core import keyspace
from hyssoptack.policy import ownership
from hyssoptack.standins import records

CALL_LIMIT_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Reply:
    """What a caller got.

    Attributes:
        status: The HTTP status; 0 when the connection was cut.
        body: The JSON body.
        elapsed_ms: From the send to the whole answer.
        retry_after: The Retry-After header, or empty.
        started_s: When it was sent, by the monotonic clock.
    """

    status: int
    body: dict
    elapsed_ms: float
    retry_after: str = ""
    started_s: float = 0.0

    def execution_status(self) -> str:
        """Returns what the answer says of the run."""
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
    """Calls a fleet's fronts."""

    def __init__(self, run: fleet.Fleet):
        self._run = run
        self._pool = urllib3.PoolManager(
            num_pools=50, maxsize=64, retries=False
        )

    def search(self, front: str, service: str, text: str, **body) -> Reply:
        """Sends a search to one front."""
        url = f"http://{front}/services/{service}/search"
        return _call(self._pool, url, {"text": text, **body}, {})

    def act(
        self, front: str, service: str, key: str, subject: str, **body
    ) -> Reply:
        """Sends an action to one front."""
        url = f"http://{front}/services/{service}/actions"
        document = {"subject": subject, "request": {"for": subject}, **body}
        return _call(self._pool, url, document, {"Idempotency-Key": key})

    def front_address(self, instance_id: str) -> str:
        """Returns an instance's callers' address."""
        return self._run.instance(instance_id)["front_address"]


class LoadGenerator:
    """Searches through the balancer from several threads until stopped."""

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
        self._lock = threading.Lock()
        # Before the threads: the first of them may have an answer at once.
        self.replies: list[tuple[str, Reply]] = []
        self._threads = concurrent.futures.ThreadPoolExecutor(thread_count)
        self._work = [
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
        """Stops and returns every reply with its text."""
        self._stopping.set()
        for each in self._work:
            each.result()
        self._threads.shutdown()
        return self.replies


def upstream_for(run: fleet.Fleet, service: str, subject: str) -> str:
    """Returns the upstream that an action on a subject goes to."""
    key = keyspace.key_of(subject)
    for shard in run.catalog.services[service].shards:
        if shard.key_range.contains(key):
            return shard.upstream_ids[0]
    raise AssertionError(f"no shard for {subject}")


def owners_for(
    run: fleet.Fleet, upstream_id: str, owner_count: int
) -> list[str]:
    """Returns the instances that own an upstream."""
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
    """Returns a subject whose actions go to an upstream."""
    for tried in itertools.count():
        subject = f"subject {number}.{tried}"
        if upstream_for(run, service, subject) == upstream_id:
            return subject
    raise AssertionError


def expected_hits(
    service: str, text: str, body: dict, limit: int = 10
) -> list[tuple[int, str]]:
    """Computes what an answer must hold, from its ranges and version."""
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
    """Returns an answer's hits in the same form."""
    return [(hit["key"], hit["title"]) for hit in body["hits"]]
