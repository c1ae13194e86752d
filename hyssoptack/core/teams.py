"""Teams of callers, their keys and their rate limits.

Keys are kept as SHA-256 digests only, so that no log line or error that prints
a record can show a key.
"""

import collections.abc
import dataclasses
import hashlib

from hyssoptack.core import decoding


@dataclasses.dataclass(frozen=True, kw_only=True)
class RateLimit:
    """Limit on the requests of a team, over all instances together.

    Attributes:
        rate_per_s: Requests per second.
        burst_count: Requests allowed at once in addition to the rate.
    """

    rate_per_s: decoding.Finite
    burst_count: decoding.Finite


@dataclasses.dataclass(frozen=True, kw_only=True)
class Team:
    """A team of callers.

    Attributes:
        name: Name of the team.
        priority: Priority of its requests, 0 the most urgent; None if the
            route's priority applies.
        rate_limit: Limit on its requests; None if they are not limited.
    """

    name: str
    priority: int | None = None
    rate_limit: RateLimit | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class Directory:
    """All teams of one configuration.

    Attributes:
        by_name: Teams by name.
        by_key_digest: Teams by the digest of each of their keys.
        ambiguous_names: Names of teams with a key or name that an earlier team
            of the list has; the earlier team keeps it.
    """

    by_name: dict[str, Team]
    by_key_digest: dict[bytes, Team]
    ambiguous_names: tuple[str, ...] = ()

    def find(self, key: bytes) -> Team | None:
        """Returns the team that holds a key; None if no team does."""
        return self.by_key_digest.get(_digest(key))


def new_directory(
    entries: collections.abc.Iterable[tuple[Team, collections.abc.Iterable]],
) -> Directory:
    """Returns the directory of teams and their keys.

    Args:
        entries: Each team with its keys, as bytes.
    """
    by_name: dict[str, Team] = {}
    by_key_digest: dict[bytes, Team] = {}
    ambiguous_names: list[str] = []
    for team, keys in entries:
        kept = by_name.setdefault(team.name, team)
        owners = [by_key_digest.setdefault(_digest(key), kept) for key in keys]
        if kept is not team or any(owner is not kept for owner in owners):
            ambiguous_names.append(team.name)
    return Directory(
        by_name=by_name,
        by_key_digest=by_key_digest,
        ambiguous_names=tuple(ambiguous_names),
    )


def _digest(key: bytes) -> bytes:
    return hashlib.sha256(key).digest()
