"""HTTP client of the balancer or an instance, for the command line."""

import contextlib
import dataclasses
import json

import urllib3

STATUS_OK = 200
TIMEOUT_S = 30.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Reply from the balancer or an instance.

    Attributes:
        status: The status code; 0 if there was no reply.
        text: The reply's body, indented if it is JSON, or an error text.
    """

    status: int
    text: str


def _request(
    method: str, url: str, body: object, headers: dict[str, str]
) -> Result:
    pool = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    try:
        response = pool.request(
            method, url, body=json.dumps(body).encode(), headers=headers
        )
    except urllib3.exceptions.HTTPError as error:
        return Result(
            status=0, text=f"no reply from balancer or instance: {error}"
        )
    document = response.data.decode(errors="replace")
    with contextlib.suppress(json.JSONDecodeError):
        parsed = json.loads(document)
        document = json.dumps(parsed, indent=2, ensure_ascii=False)
    return Result(status=response.status, text=document)


def search(
    front: str,
    service: str,
    text: str,
    limit: int,
    deadline_ms: int | None,
    urgent: bool,
) -> Result:
    """Sends a search to the balancer or an instance.

    Returns:
        The reply; status 0 if there was none.
    """
    body: dict[str, object] = {"text": text, "limit": limit}
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    if urgent:
        body["class"] = "urgent"
    url = f"http://{front}/services/{service}/search"
    return _request("POST", url, body, {"Content-Type": "application/json"})


def act(
    front: str, service: str, subject: str, request: object, key: str
) -> Result:
    """Sends a non-idempotent request with an idempotency key.

    Returns:
        The reply; status 0 if there was none.
    """
    headers = {"Content-Type": "application/json", "Idempotency-Key": key}
    url = f"http://{front}/services/{service}/actions"
    body = {"subject": subject, "request": request}
    return _request("POST", url, body, headers)
