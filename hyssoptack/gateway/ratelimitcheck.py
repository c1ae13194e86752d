"""Checks messages about rate limits and selects the limit that applies.

A message that a faulty or foreign process sent must not change any bucket.
"""

import collections.abc
import dataclasses

from hyssoptack.core import ratelimitmessage
from hyssoptack.core import teams
from hyssoptack.ratelimit import permitdecisions
from hyssoptack.ratelimit import permits

MAX_TOKEN_COUNT = 1_000_000
"""Highest plausible number of tokens in a message: a bucket holds the burst."""

MAX_RATE_PER_S = 10_000_000.0
"""Highest plausible rate or burst."""

MAX_RETRY_MS = 600_000.0
"""Longest plausible time until a bucket has a token again."""

MAX_NAME_LENGTH = 1_024
MAX_SKIPPED_COUNT = 16

LEARNED_LIMIT_MS = 20_000.0
"""Time for which a limit of a newer version is used after its last message.
Versions differ for up to 5 s; a version that nobody names for longer than that
does not exist."""

MAX_LEARNED_COUNT = 1_000
"""Maximum number of teams of which a newer limit is kept."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class UnknownTeam:
    """The team exists neither here nor in a newer configuration."""


UNKNOWN_TEAM = UnknownTeam()


def is_plausible(message: ratelimitmessage.Message) -> bool:
    """Returns whether all values of a message are within plausible bounds."""
    if not 0 < len(message.team) <= MAX_NAME_LENGTH:
        return False
    match message:
        case ratelimitmessage.PermitRequest():
            return (
                _is_limit(message.limit)
                and _is_permit_count(message.wanted_count)
                and _is_permit_count(message.prefetch_count)
                and _is_permit_count(message.held_count)
                and _is_permit_count(message.spent_count)
                and not (message.spent_count and message.wanted_count)
                and len(message.skipped_ids) <= MAX_SKIPPED_COUNT
            )
        case ratelimitmessage.PermitReply():
            return _is_permit_count(message.permit_count) and (
                0.0 <= message.retry_after_ms <= MAX_RETRY_MS
                and 0.0 <= message.ask_first_ms <= permits.ASK_FIRST_MS
            )
        case ratelimitmessage.TransferRequest():
            return _is_limit(message.limit) and _is_token_count(
                message.wanted_count
            )
        case ratelimitmessage.HandoverRequest():
            return True
        case ratelimitmessage.TokenReply():
            return _is_token_count(message.token_count)
        case ratelimitmessage.RestrictionNotice():
            return 0.0 <= message.ask_first_ms <= permits.ASK_FIRST_MS


def _is_permit_count(count: int) -> bool:
    # A reply holds the wanted and the prefetched permits.
    return 0 <= count <= 2 * permitdecisions.ASK_LIMIT_COUNT


def _is_token_count(count: float) -> bool:
    # False for NaN as well.
    return 0.0 <= count <= MAX_TOKEN_COUNT


def _is_limit(versioned: ratelimitmessage.VersionedLimit) -> bool:
    limit = versioned.limit
    return versioned.version >= 0 and (
        limit is None
        or (
            0.0 <= limit.rate_per_s <= MAX_RATE_PER_S
            and 0.0 <= limit.burst_count <= MAX_RATE_PER_S
        )
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Learned:
    """A limit of a configuration that is newer than this instance's.

    Attributes:
        limit: The limit with its version.
        seen_ms: Time of the last message that stated it.
    """

    limit: ratelimitmessage.VersionedLimit
    seen_ms: float


Configured = collections.abc.Callable[[], tuple[int, teams.Directory | None]]
"""Returns the version and the teams of the configuration in force."""


def enforced(limit: teams.RateLimit | None) -> teams.RateLimit | None:
    """Returns a limit that can be applied; None if requests are not limited.

    A rate above any plausible one does not limit requests.
    """
    if limit is None or not 0.0 < limit.rate_per_s <= MAX_RATE_PER_S:
        return None
    if 0.0 <= limit.burst_count <= MAX_RATE_PER_S:
        return limit
    burst_count = MAX_RATE_PER_S if limit.burst_count > 0.0 else 0.0
    return dataclasses.replace(limit, burst_count=burst_count)


class LimitVersions:
    """Selects the limit of the highest version that this instance knows."""

    def __init__(self, configured: Configured):
        """Creates the selection.

        Args:
            configured: Returns the version and teams in force here.
        """
        self._configured = configured
        self._learned: dict[str, _Learned] = {}

    def own(self, team_name: str) -> ratelimitmessage.VersionedLimit | None:
        """Returns the limit in force here; None if the team is unknown."""
        version, directory = self._configured()
        team = directory.by_name.get(team_name) if directory else None
        if team is None:
            return None
        return ratelimitmessage.VersionedLimit(
            version=version, limit=enforced(team.rate_limit)
        )

    def newest(
        self, team_name: str, now_ms: float
    ) -> ratelimitmessage.VersionedLimit | UnknownTeam:
        """Returns the limit of the highest known version."""
        version, _ = self._configured()
        learned = self._learned.get(team_name)
        if learned is not None and (
            learned.limit.version <= version
            or now_ms - learned.seen_ms > LEARNED_LIMIT_MS
        ):
            del self._learned[team_name]
            learned = None
        if learned is not None:
            return learned.limit
        return self.own(team_name) or UNKNOWN_TEAM

    def stated(
        self, team_name: str, now_ms: float
    ) -> ratelimitmessage.VersionedLimit | UnknownTeam:
        """Returns the limit that messages of this instance state.

        That is the limit in force here. A limit learned from others is passed
        on only if the team is unknown here: instances would otherwise confirm
        to each other a version that does not exist.
        """
        return self.own(team_name) or self.newest(team_name, now_ms)

    def learn(
        self,
        team_name: str,
        stated: ratelimitmessage.VersionedLimit,
        now_ms: float,
    ) -> ratelimitmessage.VersionedLimit | UnknownTeam:
        """Takes a message's limit into account; returns the newest limit."""
        version, _ = self._configured()
        if stated.version > version:
            known = self._learned.get(team_name)
            newer = known is None or stated.version >= known.limit.version
            if newer and (
                known is not None or len(self._learned) < MAX_LEARNED_COUNT
            ):
                self._learned[team_name] = _Learned(
                    limit=dataclasses.replace(
                        stated, limit=enforced(stated.limit)
                    ),
                    seen_ms=now_ms,
                )
        return self.newest(team_name, now_ms)

    def drop_outdated(self, now_ms: float) -> None:
        """Removes limits that are no longer newer than the own version's."""
        for name in tuple(self._learned):
            self.newest(name, now_ms)
