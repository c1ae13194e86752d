"""Records of the stand-in upstreams, such as oven programmes and lesson slots.

Records depend only on the service name, the key range and the index version, so
that a test can compute the expected content of any response.
"""

import dataclasses
import functools

from hyssoptack.core import keyspace

RECORD_COUNT = 400

_WORDS = {
    "oven-kiosk": (
        ("Baguette", "Pain complet", "Croissant", "Brioche", "Tapalapa"),
        ("deck oven", "rotary oven", "convection oven", "brick oven"),
        ("curve {n}: {a} C then {b} C", "fault E{n}: check the damper"),
    ),
    "membership": (
        ("Boulangerie Medina", "Four de Thies", "Pain du Plateau"),
        ("member", "franchise", "apprentice house"),
        ("number {n}, paid to month {a}",),
    ),
    "certification-register": (
        ("Certificate", "Renewal", "Inspection"),
        ("oven operator", "master baker"),
        ("entry {n}, valid {b} days",),
    ),
    "training-portal": (
        ("Course", "Lesson", "Exam"),
        ("dough", "steam", "hygiene"),
        ("unit {n}, {a} minutes",),
    ),
    "lesson-booking": (
        ("Lesson slot", "Solo slot", "Check flight"),
        ("Cessna 152", "Piper Warrior", "Robin DR400"),
        ("G-CYM{n}, hour {a}, Caernarfon", "G-CYM{n}, hour {a}, Cardiff"),
    ),
    "instructor-roster": (
        ("Instructor Rhys", "Instructor Megan", "Instructor Owain"),
        ("morning", "afternoon"),
        ("slot {n}, airfield {a}",),
    ),
    "student-logbook": (
        ("Sortie", "Dual", "Solo"),
        ("cross-country", "circuits"),
        ("entry {n}, {a} minutes",),
    ),
    "fleet-status": (
        ("Cessna 152", "Piper Warrior"),
        ("available", "in service bay"),
        ("G-CYM{n}, {b} hours",),
    ),
}
_OTHER = (("Record",), ("entry",), ("number {n}",))


@dataclasses.dataclass(frozen=True)
class Record:
    """A record of a service.

    Attributes:
        key: Position in the key space.
        title: Title that a search returns.
        words: Lower-case words of the title, which searches match.
    """

    key: int
    title: str
    words: frozenset[str]


@functools.cache
def records(service: str) -> tuple[Record, ...]:
    """Returns all records of a service, sorted by key."""
    first, second, third = _WORDS.get(service, _OTHER)
    result = []
    for n in range(RECORD_COUNT):
        detail = third[n % len(third)].format(n=n, a=n % 23 + 1, b=180 + n % 90)
        title = f"{first[n % len(first)]}, {second[n % len(second)]}, {detail}"
        words = frozenset(title.lower().replace(",", " ").split())
        key = keyspace.key_of(f"{service}/{n}")
        result.append(Record(key, title, words))
    return tuple(sorted(result, key=lambda each: each.key))


def search(
    service: str, text: str, low: int, high: int, version: int, limit: int
) -> list[tuple[int, float, str]]:
    """Returns the hits of a key range at an index version, best first.

    Each title ends with the version, which reveals a response that mixes index
    versions.
    """
    wanted = set(text.lower().split())
    hits = []
    for record in records(service):
        matched = len(wanted & record.words)
        if matched and low <= record.key < high:
            title = f"{record.title} [v{version}]"
            hits.append((record.key, matched / len(wanted), title))
    hits.sort(key=lambda hit: (-hit[1], hit[0]))
    return hits[:limit]
