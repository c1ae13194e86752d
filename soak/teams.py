"""Teams of a soak run: their keys in each configuration, and who uses them."""

import dataclasses
import random

from hyssoptack.http1 import message

SEED_MODULUS = 3
"""Runs have teams if their seed is a multiple of this, so that the schedules of
the other seeds stay as they are."""

WINDOW_MS, OVERAGE_RATIO, SLACK_COUNT = 5_000.0, 0.1, 20.0
RATE_LIMIT = {
    "window_ms": WINDOW_MS,
    "overage_ratio": OVERAGE_RATIO,
    "slack_count": SLACK_COUNT,
}
"""Rate limits in the settings of a gateway."""

"""How rate limits are checked: in any window, (rate x window + burst) x
(1 + overage) + slack requests."""

FIXED_TEAM = "fixed"
FIXED_KEY = "k-fixed-0123456789abcdef"
"""Key of the caller of crashing requests, which no configuration changes."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limit:
    """A team's rate limit.

    Attributes:
        rate_per_s: Requests per second.
        burst_count: Requests allowed at once in addition.
    """

    rate_per_s: float
    burst_count: float

    def allowed_count(self, window_ms: float) -> float:
        """Returns how many requests may run in a window."""
        exact = self.rate_per_s * window_ms / message.MS_PER_S
        return (exact + self.burst_count) * (1 + OVERAGE_RATIO) + SLACK_COUNT


LIMITS = {
    "red": None,
    "green": Limit(rate_per_s=12.0, burst_count=10.0),
    "blue": Limit(rate_per_s=400.0, burst_count=400.0),
    "grey": None,
    FIXED_TEAM: None,
}
"""Limits by team. The callers of green send several times its rate, those of
blue never reach theirs."""

PRIORITIES = {"red": 0, "green": 2}
_RENAMED_SUFFIX = "-renamed"
KEYS_PER_TEAM_COUNT = 2

_NO_KEY_RATIO, _UNKNOWN_KEY_RATIO, _FORGED_RATIO = 0.04, 0.03, 0.1
_SCHEMES = ("Bearer", "bearer", "BEARER")


def limit_of(team_name: str) -> Limit | None:
    """Returns the limit of a team; None if it has none."""
    return LIMITS[team_name.removesuffix(_RENAMED_SUFFIX)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class TeamVersion:
    """The keys in force in one version of the configuration.

    Attributes:
        at_ms: Monotonic time of the write.
        teams_by_key: Name of the team of each key.
    """

    at_ms: float
    teams_by_key: dict[str, str]


class TeamPlan:
    """Draws the teams of each configuration version of a run.

    Attributes:
        all_keys: Keys that any version may hold.
        versions: The versions written so far.
    """

    def __init__(self, seed: int):
        self._random = random.Random(f"{seed}/teams")
        names = [each for each in LIMITS if each != FIXED_TEAM]
        self._keys_by_team = {
            name: [self._new_key(name) for _ in range(KEYS_PER_TEAM_COUNT)]
            for name in names
        }
        self._spare_keys: list[str] = []
        self.all_keys = [
            key for keys in self._keys_by_team.values() for key in keys
        ]
        self.versions: list[TeamVersion] = []

    def _new_key(self, name: str) -> str:
        return f"k-{name}-{self._random.randbytes(8).hex()}"

    def next_entries(self, at_ms: float) -> list[dict[str, object]]:
        """Changes one team and returns the teams of the next configuration."""
        if self.versions:
            self._change()
        teams = {**self._keys_by_team, FIXED_TEAM: [FIXED_KEY]}
        self.versions.append(
            TeamVersion(
                at_ms=at_ms,
                teams_by_key={
                    key: name for name, keys in teams.items() for key in keys
                },
            )
        )
        return [_entry(name, keys) for name, keys in teams.items()]

    def _change(self) -> None:
        name = self._random.choice([*self._keys_by_team])
        keys = self._keys_by_team[name]
        match self._random.choice(("remove", "return", "move", "rename")):
            case "remove" if keys:
                self._spare_keys.append(keys.pop())
            case "return" if self._spare_keys:
                keys.append(self._spare_keys.pop(0))
            case "move" if keys:
                other = self._random.choice([*self._keys_by_team])
                self._keys_by_team[other].append(keys.pop(0))
            case "rename":
                del self._keys_by_team[name]
                renamed = name.removesuffix(_RENAMED_SUFFIX)
                if renamed == name:
                    renamed += _RENAMED_SUFFIX
                self._keys_by_team[renamed] = keys


def _entry(name: str, keys: list[str]) -> dict[str, object]:
    entry: dict[str, object] = {"name": name, "api_keys": [*keys]}
    priority = PRIORITIES.get(name)
    if priority is not None:
        entry["priority"] = priority
    limit = limit_of(name)
    if limit is not None:
        entry["rate_per_s"] = limit.rate_per_s
        entry["burst"] = limit.burst_count
    return entry


@dataclasses.dataclass(frozen=True, kw_only=True)
class Credentials:
    """What a request says about its caller.

    Attributes:
        key: The key; empty if it has none.
        fields: Its header fields.
    """

    key: str = ""
    fields: tuple[message.Header, ...] = ()


class CallerIdentity:
    """Draws the credentials of one caller's requests."""

    def __init__(self, own_key: str, seed: int, always_own: bool = False):
        """Creates an identity.

        Args:
            own_key: Key of the caller.
            seed: Seed of the run.
            always_own: Whether each request has the caller's key.
        """
        self._own_key = own_key
        self._random = random.Random(f"{seed}/{own_key}")
        self._always_own = always_own

    def next_credentials(self) -> Credentials:
        """Returns the credentials of the next request."""
        drawn = 1.0 if self._always_own else self._random.random()
        key = self._own_key
        if drawn < _NO_KEY_RATIO:
            key = ""
        elif drawn < _NO_KEY_RATIO + _UNKNOWN_KEY_RATIO:
            key = f"k-unknown-{self._random.randbytes(4).hex()}"
        fields: list[message.Header] = []
        if self._random.random() < _FORGED_RATIO:
            fields.append((b"X-Tenant-Id", b"forged"))
        if key:
            scheme = self._random.choice(_SCHEMES)
            fields.append((b"Authorization", f"{scheme} {key}".encode()))
        return Credentials(key=key, fields=tuple(fields))


def plan_for(seed: int) -> TeamPlan | None:
    """Returns the plan of a run; None if its seed has no teams."""
    return TeamPlan(seed) if seed % SEED_MODULUS == 0 else None
