"""Numbered log events, written as eliot messages.

Numbers are stable and listed in docs/LOGS.md; a test compares the two.
"""

import enum
import sys

import eliot


class Event(enum.Enum):
    """Every event: its number, and when it is written."""

    INSTANCE_STATE = (1001, "The instance's state chart took a step.")
    STARTED = (1003, "The process has its settings and opens its ports.")
    READY = (1006, "The instance asks for callers, or stops asking.")
    STOPPED = (1007, "The process ends.")
    RELOADED = (1009, "The settings file was read again.")
    LOGS_DROPPED = (1008, "Log lines were left out: nobody read them in time.")
    INSTANCE_BROKEN = (1002, "A broken invariant stops the process.")
    STOP_ASKED = (1004, "A stop signal came; the second one hurries.")
    THAWED = (1005, "The process had not run for long; shares are dropped.")
    CONFIG_IN_FORCE = (2001, "A configuration revision is in force.")
    CONFIG_REFUSED = (2002, "An offered configuration has errors.")
    CONFIG_OLDER = (2003, "An older revision was offered and ignored.")
    EVACUATIONS_CHANGED = (
        2004,
        "Operators evacuated a failure domain, or ended that.",
    )
    OPERATOR_KEY_IGNORED = (2005, "A key of the operators names nothing known.")
    STORE_LOST = (2101, "The key-value service stopped answering.")
    STORE_BACK = (2102, "The key-value service answers again.")
    LIST_LOST = (2103, "The instance list stopped answering.")
    LIST_BACK = (2104, "The instance list answers again.")
    DOMAINS_LOST = (2201, "The own failure domain is cut off from the others.")
    DOMAINS_BACK = (2202, "Other failure domains can be reached again.")
    PEER_UNREADABLE = (3001, "A peer frame held what can't be read.")
    PEER_UNDELIVERED = (3002, "A message could not be sent to a peer.")
    VIEW_CHANGED = (3101, "Owners of upstreams were computed anew.")
    UPSTREAM_DRAINING = (4001, "An upstream is seen to be leaving.")
    UPSTREAMS_CHANGED = (4101, "The list of upstreams in use has changed.")
    UPSTREAM_UNREACHABLE = (4102, "An upstream is left alone for a while.")
    UPSTREAM_ENDED = (4104, "An upstream has ended with calls in hand.")
    ENTRY_UNREADABLE = (4103, "An entry of the list names no upstream to use.")
    QUERY_REFUSED = (5001, "A query was refused.")
    ACTION_SETTLED = (6001, "An action came to its outcome.")
    ACTION_UNRECORDED = (6002, "An action's outcome could not be recorded.")
    REQUEST_ENDED = (6101, "A caller's request came to its end.")
    CALL_EXTRA = (6102, "A request is sent to one more upstream.")
    REQUEST_UNREADABLE = (6103, "A request was refused before it was read.")
    QUERY_HANDED = (6104, "A neighbour answered a query for this instance.")
    QUERY_BACK = (6105, "A neighbour did not run a query that it was handed.")
    RELAY_LOST = (6106, "An instance that made calls for others is lost.")
    QUERY_TAKEN = (6107, "A neighbour's query is run here, or declined.")
    QUERY_ANSWER_UNUSED = (
        6108,
        "A neighbour answered a query that it is not asked for any more.",
    )
    QUERY_LEFT_THERE = (
        6109,
        "A query stays with a silent neighbour: it can't be paid for here.",
    )
    SUSPICION_BEGAN = (
        6201,
        "A request may crash upstreams: an end, no answer.",
    )
    SUSPICION_SHARED = (6202, "Other instances are told of such requests.")
    REQUEST_BLOCKED = (6203, "A request is refused: it crashes upstreams.")
    REQUEST_TRIED = (6204, "A blocked request is sent to one upstream.")
    SUSPICION_ENDED = (6205, "Nothing is held against a request any more.")
    BLOCKED_STORED = (6206, "Blocked requests were written to the store.")
    REQUEST_FAULT = (7001, "A request met a fault of ours.")

    @property
    def number(self) -> int:
        """The event's number."""
        return self.value[0]

    @property
    def description(self) -> str:
        """When the event is written."""
        return self.value[1]


def write(event: Event, **fields: object) -> None:
    """Writes an event.

    Args:
        event: Which one.
        **fields: What a reader needs besides; names carry units.
    """
    eliot.log_message(message_type=message_type(event), **fields)


def message_type(event: Event) -> str:
    """Returns an event's name on log lines."""
    return f"hyssoptack:{event.number}:{event.name.lower()}"


def open_destination(path: str) -> None:
    """Sends events to a file, or to standard error when the path is empty."""
    if path:
        eliot.to_file(open(path, "a", encoding="utf-8"))  # noqa: SIM115
    else:
        eliot.to_file(sys.stderr)
