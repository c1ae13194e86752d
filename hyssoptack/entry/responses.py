"""Builds HTTP responses: JSON bodies and problem details (RFC 9457)."""

import dataclasses
import math

import msgspec

from hyssoptack.core import action
from hyssoptack.core import keyspace
from hyssoptack.core import query
from hyssoptack.core import refusal

JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
MS_PER_S = 1000

STATUS_LINES = {
    200: "200 OK",
    400: "400 Bad Request",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    413: "413 Content Too Large",
    422: "422 Unprocessable Content",
    500: "500 Internal Server Error",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}

STATUS_BY_REASON = {
    refusal.Reason.MALFORMED: 400,
    refusal.Reason.TOO_LARGE: 413,
    refusal.Reason.TIMEOUT_READING: 408,
    refusal.Reason.UNKNOWN_PATH: 404,
    refusal.Reason.UNKNOWN_SERVICE: 404,
    refusal.Reason.WRONG_KIND: 409,
    refusal.Reason.OVERLOADED: 503,
    refusal.Reason.DEADLINE_TOO_SHORT: 503,
    refusal.Reason.COVERAGE_BELOW_FLOOR: 503,
    refusal.Reason.UPSTREAM_UNAVAILABLE: 503,
    refusal.Reason.STORE_UNAVAILABLE: 503,
    refusal.Reason.STARTING: 503,
    refusal.Reason.OUTCOME_UNKNOWN: 504,
    refusal.Reason.KEY_REUSED: 422,
    refusal.Reason.NOT_FOUND: 404,
    refusal.Reason.INTERNAL: 500,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Response:
    """An HTTP response."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...]


def json_response(value: object) -> Response:
    """Returns a 200 response with a value encoded as JSON."""
    return Response(
        status=200,
        body=msgspec.json.encode(value) + b"\n",
        headers=(("Content-Type", JSON_TYPE),),
    )


def answer_response(answer: query.Answer) -> Response:
    """Returns the response for an answered query."""
    return json_response(
        {
            "query_id": answer.query_id,
            "hits": [
                {"key": hit.key, "score": hit.score, "title": hit.title}
                for hit in answer.hits
            ],
            "index_version": answer.index_version,
            "coverage_ratio": round(answer.coverage_ratio, 6),
            "covered_ranges": [
                (each.low, each.high)
                for each in keyspace.merge_adjacent(answer.ranges)
            ],
            "upstream_call_count": answer.upstream_call_count,
            "extra_call_count": answer.extra_call_count,
            "elapsed_ms": round(answer.elapsed_ms, 3),
        }
    )


def outcome_response(outcome: action.Outcome) -> Response:
    """Returns the response for an action's outcome."""
    if outcome.refused is not None:
        return refusal_response(outcome.refused, outcome.replayed)
    return json_response(
        {
            "ran": outcome.ran.value,
            "receipt": outcome.receipt,
            "replayed": outcome.replayed,
        }
    )


def refusal_response(
    refused: refusal.Refusal, replayed: bool = False
) -> Response:
    """Returns the problem-details response for a refusal."""
    status = STATUS_BY_REASON[refused.reason]
    body: dict[str, object] = {
        "type": f"urn:hyssoptack:problem:{refused.reason.value}",
        "title": refused.reason.value.replace("_", " "),
        "status": status,
        "detail": refused.detail,
        "reason": refused.reason.value,
        "ran": refused.ran.value,
    }
    headers = [("Content-Type", PROBLEM_TYPE)]
    if refused.retry_after_ms is not None:
        seconds = max(1, math.ceil(refused.retry_after_ms / MS_PER_S))
        body["retry_after_ms"] = refused.retry_after_ms
        headers.append(("Retry-After", str(seconds)))
    if refused.coverage_ratio is not None:
        body["coverage_ratio"] = round(refused.coverage_ratio, 6)
    if replayed:
        body["replayed"] = True
    return Response(
        status=status,
        body=msgspec.json.encode(body) + b"\n",
        headers=tuple(headers),
    )
