"""Queries, the hits that upstreams return, and merged answers."""

import dataclasses
import enum

from hyssoptack.core import decoding
from hyssoptack.core import keyspace

ANY_VERSION = 0
"""Selects an upstream's newest index version; real versions start at 1."""


class Urgency(enum.Enum):
    """Class of a query; urgent lookups take precedence over browsing."""

    URGENT = "urgent"
    BROWSING = "browsing"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Query:
    """A validated query of a caller.

    Attributes:
        query_id: Unique id of the query; every call and answer carries it.
        service: Name of the service to search.
        text: Search text.
        limit_count: Maximum number of hits to return.
        urgency: Class of the query for admission and queues.
        deadline_ms: Time from admission to the final answer, in milliseconds.
    """

    query_id: str
    service: str
    text: str
    limit_count: int
    urgency: Urgency
    deadline_ms: int


@dataclasses.dataclass(frozen=True)
class Hit:
    """A matching record: its index key, score and title."""

    key: int
    score: decoding.Finite
    title: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """Merged answer to a query, from one index version.

    Attributes:
        query_id: Id of the query.
        hits: Best hits in order.
        index_version: Index version of all hits.
        coverage_ratio: Ratio of the key space that was answered at that
            version.
        ranges: Key ranges that were answered.
        upstream_call_count: Number of calls that reached an upstream or were
            cancelled.
        extra_call_count: Number of calls beyond the first for each shard:
            hedges, retries and calls at another version.
        elapsed_ms: Time from admission to this answer, in milliseconds.
    """

    query_id: str
    hits: tuple[Hit, ...]
    index_version: int
    coverage_ratio: decoding.Finite
    ranges: tuple[keyspace.KeyRange, ...]
    upstream_call_count: int
    extra_call_count: int
    elapsed_ms: decoding.Finite
