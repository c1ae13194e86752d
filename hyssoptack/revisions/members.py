"""Client for the platform's list of live and leaving instances."""

import dataclasses

import expression
import msgspec
import urllib3

from hyssoptack.core import decoding
from hyssoptack.core import member
from hyssoptack.settings import instance

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Listing:
    """The platform's instance list, which may lag behind the instances' state.

    Attributes:
        members: Live and leaving instances.
        leaving_upstream_ids: Identifiers of the upstreams that the platform
            reports as leaving.
    """

    members: tuple[member.Member, ...] = ()
    leaving_upstream_ids: tuple[str, ...] = ()


_DECODER = msgspec.json.Decoder(Listing)


class MembersClient:
    """Blocking client that fetches the list only if its ETag has changed."""

    def __init__(self, settings: instance.PlatformSettings):
        self._settings = settings
        host, _, port = settings.instance_list_address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=2, retries=False
        )
        self._etag = ""
        self._last_listing = Listing()

    def read(self) -> expression.Result[Listing, str]:
        """Returns the current list.

        Returns:
            The list, or the reason why it can't be read.
        """
        timeout = urllib3.Timeout(total=self._settings.timeout_ms / MS_PER_S)
        try:
            response = self._pool.request(
                "GET",
                "/members",
                headers={"If-None-Match": self._etag},
                timeout=timeout,
                retries=False,
            )
        except urllib3.exceptions.HTTPError as error:
            return expression.Error(repr(error))
        if response.status == STATUS_NOT_MODIFIED:
            return expression.Ok(self._last_listing)
        if response.status != STATUS_OK:
            return expression.Error(
                "expected HTTP status 200 or 304 from the instance list, "
                f"got {response.status}"
            )
        match decoding.decode(_DECODER.decode, response.data):
            case expression.Result(tag="ok", ok=listing):
                self._last_listing = listing
            case expression.Result(error=detail):
                return expression.Error(detail)
        self._etag = response.headers.get("ETag", "")
        return expression.Ok(self._last_listing)
