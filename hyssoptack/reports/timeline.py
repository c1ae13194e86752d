"""Builds the timeline of one request from the logs of several instances."""

import collections.abc
import dataclasses

import expression
import msgspec

from hyssoptack.core import decoding

CONTEXT_KINDS = (
    "config_in_force",
    "store_back",
    "store_lost",
    "stop_asked",
    "upstreams_changed",
)
"""Events that show the state of an instance when it served a request."""

_DECODER = msgspec.json.Decoder(dict[str, object])


@dataclasses.dataclass(frozen=True, kw_only=True)
class Entry:
    """One log line.

    Attributes:
        time_s: Time of the line, as Unix time of the instance.
        instance_id: The instance that logged it.
        kind: Name of the event.
        fields: All other fields of the line.
    """

    time_s: float
    instance_id: str
    kind: str
    fields: dict[str, object]


def read(lines: collections.abc.Iterable[str]) -> list[Entry]:
    """Parses log lines, ignoring any text before the JSON object."""
    entries: list[Entry] = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        # A truncated line, or one of another program, is skipped.
        match decoding.decode(_DECODER.decode, line[start:].encode()):
            case expression.Result(tag="ok", ok=fields) if (
                "message_type" in fields
                and isinstance(fields.get("timestamp", 0.0), int | float)
            ):
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
    """Returns the entries relevant to a request, in order of time.

    Args:
        entries: All entries, in order of time.
        request_id: The request's id.

    Returns:
        The request's own entries, and the latest earlier entry of each of
        `CONTEXT_KINDS` from each instance that served it.
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
    relevant = [*last.values(), *own]
    return sorted(relevant, key=lambda each: each.time_s)


def text(relevant: list[Entry]) -> str:
    """Formats a timeline as text, with times relative to its last entry."""
    if not relevant:
        return "no log line has this request id"
    end_s = relevant[-1].time_s
    rows = []
    for each in relevant:
        offset_ms = (each.time_s - end_s) * 1000
        rows.append(f"{offset_ms:10.1f} ms  {each.instance_id}  {each.kind}")
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
