"""Queries, the hits that upstreams return, and whole answers."""

import dataclasses
import enum

from hyssoptack.core import keyspace

ANY_VERSION = 0
"""Asks an upstream for its newest index version; real versions start at 1."""


class Urgency(enum.Enum):
    """The class of a query: urgent lookups go before browsing."""

    URGENT = "urgent"
    BROWSING = "browsing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """One caller's query, checked.

    Attributes:
        query_id: Unique to this request; every call and answer carries it.
        service: The service that is searched.
        text: The words searched for.
        limit_count: The most hits to return.
        urgency: Its class for admission and queues.
        deadline_ms: Time from admission to the final answer.
    """

    query_id: str
    service: str
    text: str
    limit_count: int
    urgency: Urgency
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Hit:
    """One record found: its index key, score and title."""

    key: int
    score: float
    title: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """A whole answer from one snapshot.

    Attributes:
        query_id: The query that it answers.
        hits: The best hits in order.
        index_version: The one version that every hit comes from.
        coverage_ratio: The share of the key space that was answered at that
            version.
        ranges: The key ranges behind the coverage.
        upstream_call_count: All calls made to upstreams.
        extra_call_count: Calls beyond the first for each shard: hedges,
            retries, re-asks.
        elapsed_ms: From admission to this answer.
    """

    query_id: str
    hits: tuple[Hit, ...]
    index_version: int
    coverage_ratio: float
    ranges: tuple[keyspace.KeyRange, ...]
    upstream_call_count: int
    extra_call_count: int
    elapsed_ms: float
