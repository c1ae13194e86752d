"""Numbered log events, written as eliot messages.

Numbers are stable and listed in docs/LOGS.md; a test compares the two.
"""

import enum
import sys

import eliot


class Event(enum.Enum):
    """All log events: number and description."""

    INSTANCE_STATE = (
        1001,
        "The instance moved to another state of its state chart.",
    )
    STARTED = (
        1003,
        "The process has loaded its settings and opens its ports.",
    )
    READY = (
        1006,
        "The readiness probe starts or stops reporting ready.",
    )
    STOPPED = (
        1007,
        "The process exits.",
    )
    RELOADED = (
        1009,
        "The settings file was reloaded.",
    )
    LOGS_DROPPED = (
        1008,
        "Log lines were dropped because the log buffer was full.",
    )
    INSTANCE_BROKEN = (
        1002,
        "The process exits because an invariant was violated.",
    )
    STOP_ASKED = (
        1004,
        "A stop signal was received; a second one ends the drain early.",
    )
    THAWED = (
        1005,
        "The process was paused too long; it gives up its upstreams for now.",
    )
    OWNERSHIP_RENEWED = (
        1010,
        "The instance owns its upstreams again after a pause.",
    )
    STALLED = (
        1011,
        "The process stood still for a time and handles what waited meanwhile.",
    )
    CONFIG_IN_FORCE = (
        2001,
        "A new configuration revision is in force.",
    )
    CONFIG_REFUSED = (
        2002,
        "An offered configuration was rejected because of errors.",
    )
    CONFIG_OLDER = (
        2003,
        "An offered configuration was ignored: its revision is older.",
    )
    EVACUATIONS_CHANGED = (
        2004,
        "Operators started or ended a failure domain's evacuation.",
    )
    OPERATOR_KEY_IGNORED = (
        2005,
        "An unknown key under the operators' prefix was ignored.",
    )
    TEAMS_AMBIGUOUS = (
        2006,
        "A team's name or one of its keys belongs to an earlier team.",
    )
    STORE_LOST = (
        2101,
        "The key-value service does not answer any more.",
    )
    STORE_BACK = (
        2102,
        "The key-value service answers again.",
    )
    STORE_RESTORED = (
        2105,
        "The key-value service has returned from an older copy.",
    )
    LIST_LOST = (
        2103,
        "The instance list does not answer any more.",
    )
    LIST_BACK = (
        2104,
        "The instance list answers again.",
    )
    DOMAINS_LOST = (
        2201,
        "This instance's failure domain cannot reach the others.",
    )
    DOMAINS_BACK = (
        2202,
        "This instance's failure domain can reach the others again.",
    )
    PEER_UNREADABLE = (
        3001,
        "A frame from a peer could not be decoded in full.",
    )
    PEER_UNDELIVERED = (
        3002,
        "A message to a peer could not be sent.",
    )
    PEER_HELD_UP = (
        3003,
        "A notice of a peer was held up on its way; its ages were corrected.",
    )
    VIEW_CHANGED = (
        3101,
        "The owners of upstreams were recomputed and have changed.",
    )
    UPSTREAM_DRAINING = (
        4001,
        "An upstream is draining.",
    )
    UPSTREAMS_CHANGED = (
        4101,
        "The list of upstreams in use has changed.",
    )
    UPSTREAM_UNREACHABLE = (
        4102,
        "An upstream is unreachable and is avoided for a while.",
    )
    UPSTREAM_ENDED = (
        4104,
        "An upstream exited while calls to it were in progress.",
    )
    ENTRY_UNREADABLE = (
        4103,
        "An invalid entry of the upstream list was ignored.",
    )
    LIST_OUTDATED = (
        4105,
        "The list of upstreams was not read for too long, without a failure.",
    )
    LIST_READ_IGNORED = (
        4108,
        "A read of the list of upstreams was ignored: the one in use is newer.",
    )
    CALLS_WAITING = (
        4109,
        "Calls to an upstream wait long for one of its connections.",
    )
    VIEW_OUTDATED = (
        4106,
        "The list and configuration are too old; requests wait for a read.",
    )
    VIEW_CURRENT = (
        4107,
        "Requests no longer wait: the store was read, or could not be read.",
    )
    QUERY_REFUSED = (
        5001,
        "A query was refused.",
    )
    ACTION_SETTLED = (
        6001,
        "An action has reached its outcome.",
    )
    ACTION_UNRECORDED = (
        6002,
        "An action's outcome could not be written to the store.",
    )
    REQUEST_ENDED = (
        6101,
        "A caller's request has ended.",
    )
    CALL_EXTRA = (
        6102,
        "A request is sent to an additional upstream (retry or hedge).",
    )
    REQUEST_UNREADABLE = (
        6103,
        "A request was rejected as invalid, too large or too slow.",
    )
    QUERY_HANDED = (
        6104,
        "A neighbour answered a query that was delegated to it.",
    )
    QUERY_BACK = (
        6105,
        "A delegated query was taken back and runs on this instance.",
    )
    RELAY_LOST = (
        6106,
        "An instance that relayed calls for this one was lost.",
    )
    QUERY_TAKEN = (
        6107,
        "A neighbour delegated a query here; it was accepted or declined.",
    )
    QUERY_ANSWER_UNUSED = (
        6108,
        "A neighbour answered a query that is no longer delegated to it.",
    )
    QUERY_LEFT_THERE = (
        6109,
        "A neighbour does not answer a delegated query; no budget to rerun.",
    )
    SUSPICION_BEGAN = (
        6201,
        "A request is suspected of crashing an upstream that exited.",
    )
    SUSPICION_SHARED = (
        6202,
        "Suspected requests were announced to other instances.",
    )
    REQUEST_BLOCKED = (
        6203,
        "A request was blocked because it crashes upstreams.",
    )
    REQUEST_TRIED = (
        6204,
        "A blocked request is sent to one upstream as a probe.",
    )
    SUSPICION_ENDED = (
        6205,
        "A request is no longer suspected or blocked.",
    )
    BLOCKED_STORED = (
        6206,
        "Blocked requests were written to the store, or the write failed.",
    )
    RATE_LIMITED = (
        6301,
        "A request was refused because its team is over its rate limit.",
    )
    BUCKET_BEGUN = (
        6302,
        "This instance begins to own the bucket of a team's rate limit.",
    )
    BUCKET_ENDED = (
        6303,
        "This instance has handed over or given up a team's bucket.",
    )
    OWNER_SKIPPED = (
        6304,
        "The owner of a bucket does not answer and is skipped for a while.",
    )
    BUCKETS_EMPTIED = (
        6305,
        "This process was stopped for a while and emptied its buckets.",
    )
    RATE_MESSAGE_IGNORED = (
        6306,
        "A message about rate limits was ignored: its content is invalid.",
    )
    RATE_LIMITS_ISOLATED = (
        6307,
        "This owner of buckets reaches no other instance, or does so again.",
    )
    REQUEST_REFUSED = (
        6401,
        "A request was refused for lack of room; no call was sent for it.",
    )
    DELEGATION_DECLINED = (
        6402,
        "A query that a neighbour delegates was declined for lack of room.",
    )
    LIMIT_CHANGED = (
        6403,
        "A limit of work in progress was reduced or has recovered.",
    )
    CALLER_CONNECTION_CLOSED = (
        6501,
        "A caller's connection was closed because it was idle for too long.",
    )
    REQUEST_FAULT = (
        7001,
        "An internal error occurred; a request may have failed.",
    )
    TASK_FAILED = (
        7002,
        "A task that reads the store or a file failed; it is started again.",
    )

    @property
    def number(self) -> int:
        """The event's number, which never changes."""
        return self.value[0]

    @property
    def description(self) -> str:
        """Description of the event, as in docs/LOGS.md."""
        return self.value[1]


def write(event: Event, **fields: object) -> None:
    """Logs an event.

    Args:
        event: The event.
        **fields: Further fields of the log line; names end with their unit.
    """
    eliot.log_message(message_type=message_type(event), **fields)


def message_type(event: Event) -> str:
    """Returns an event's `message_type` on log lines."""
    return f"hyssoptack:{event.number}:{event.name.lower()}"


def open_destination(path: str) -> None:
    """Logs to a file, or to standard error when the path is empty."""
    if path:
        eliot.to_file(open(path, "a", encoding="utf-8"))  # noqa: SIM115
    else:
        eliot.to_file(sys.stderr)
