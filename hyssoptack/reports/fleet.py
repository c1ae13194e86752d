"""Queries the operator ports of all instances, for reports on the fleet."""

import concurrent.futures
import dataclasses

import expression
import msgspec
import urllib3

from hyssoptack.core import decoding
from hyssoptack.core import member

TIMEOUT_S = 2.0
THREAD_COUNT = 16
STATUS_OK = 200


@dataclasses.dataclass(frozen=True, kw_only=True)
class InstanceResponse:
    """The reply of one instance.

    Attributes:
        member: The instance.
        document: The decoded reply; None if there was none or an invalid one.
        error: Error text; empty if there is a document.
    """

    member: member.Member
    document: dict | None
    error: str = ""


def _read_one(
    pool: urllib3.PoolManager, each: member.Member, path: str
) -> InstanceResponse:
    try:
        response = pool.request(
            "GET",
            f"http://{each.operator_address}{path}",
            timeout=TIMEOUT_S,
            retries=False,
        )
        if response.status != STATUS_OK:
            text = f"answered {response.status}"
            return InstanceResponse(member=each, document=None, error=text)
    except urllib3.exceptions.HTTPError as error:
        return InstanceResponse(member=each, document=None, error=repr(error))
    match decoding.decode(msgspec.json.decode, response.data):
        case expression.Result(tag="ok", ok=document):
            return InstanceResponse(member=each, document=document)
        case expression.Result(error=detail):
            return InstanceResponse(member=each, document=None, error=detail)


def read(
    members: tuple[member.Member, ...], path: str
) -> list[InstanceResponse]:
    """Requests a path from all instances in parallel.

    Args:
        members: The instances.
        path: The path, such as `/status`.

    Returns:
        A reading for each instance, in the order of the instances.
    """
    pool = urllib3.PoolManager(num_pools=max(10, len(members)))
    with concurrent.futures.ThreadPoolExecutor(THREAD_COUNT) as threads:
        return list(
            threads.map(lambda each: _read_one(pool, each, path), members)
        )
