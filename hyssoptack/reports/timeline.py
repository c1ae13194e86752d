"""Tells the story of one request from the logs of several instances."""

import collections.abc
import dataclasses

import msgspec

CONTEXT_KINDS = (
    "config_in_force",
    "store_back",
    "store_lost",
    "stop_asked",
    "upstreams_changed",
)
"""Events that say what an instance believed when it served a request."""

_DECODER = msgspec.json.Decoder(dict[str, object])


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One log line.

    Attributes:
        time_s: When it was written, by the instance's time of day.
        instance_id: Who wrote it.
        kind: The event's name.
        fields: Everything else.
    """

    time_s: float
    instance_id: str
    kind: str
    fields: dict[str, object]


def read(lines: collections.abc.Iterable[str]) -> list[Entry]:
    """Reads log lines; whatever stands before the JSON is left out."""
    entries: list[Entry] = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = _DECODER.decode(line[start:].encode())
        except msgspec.DecodeError:
            # A line cut short, or not of ours.
            continue
        if "message_type" in fields:
            entries.append(_entry(fields))
    return sorted(entries, key=lambda each: each.time_s)


def _entry(fields: dict[str, object]) -> Entry:
    kind = str(fields.pop("message_type")).rpartition(":")[2]
    return Entry(
        time_s=float(fields.pop("timestamp", 0.0)),
        instance_id=str(fields.pop("instance", "?")),
        kind=kind,
        fields=fields,
    )


def for_request(entries: list[Entry], request_id: str) -> list[Entry]:
    """Returns what concerns a request, in order of time.

    Args:
        entries: All entries, in order of time.
        request_id: The request's id.

    Returns:
        Its own entries, and before them the last one of each kind that changed
        what the serving instance believed.
    """
    own = [
        each for each in entries if each.fields.get("request_id") == request_id
    ]
    if not own:
        return []
    serving = {each.instance_id for each in own}
    last: dict[tuple[str, str], Entry] = {}
    for each in entries:
        if each.time_s > own[-1].time_s:
            break
        if each.instance_id in serving and each.kind in CONTEXT_KINDS:
            last[each.instance_id, each.kind] = each
    story = [*last.values(), *own]
    return sorted(story, key=lambda each: each.time_s)


def text(story: list[Entry]) -> str:
    """Returns a story for people: times run from its last entry back."""
    if not story:
        return "no line of these logs names the request"
    end_s = story[-1].time_s
    rows = []
    for each in story:
        before_ms = (each.time_s - end_s) * 1000
        rows.append(f"{before_ms:10.1f} ms  {each.instance_id}  {each.kind}")
        rows.extend(_field_rows(each.fields))
    return "\n".join(rows)


def _field_rows(fields: dict[str, object]) -> list[str]:
    rows = []
    for name, value in fields.items():
        if name == "request_id":
            continue
        if isinstance(value, list):
            rows.append(f"    {name}: {len(value)}")
            rows.extend(f"      {each}" for each in value)
        else:
            rows.append(f"    {name}: {value}")
    return rows
