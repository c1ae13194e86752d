"""Reloads a gateway's settings file and reports what has changed."""

import asyncio
import collections.abc
import dataclasses

import expression

from hyssoptack.events import log
from hyssoptack.settings import gateway

RESTART_FIELDS = frozenset(
    (
        "admission",
        "callers_address",
        "failure_domain",
        "instance_id",
        "metrics_address",
        "peer_address",
        "rate_limit",
        "readiness_address",
    )
)
"""Settings that take effect only at a restart."""

SETTINGS_CHECK_S = 2.0
"""How often the settings file is checked for changes: it may change without a
signal, and no setting is needed sooner."""


async def watch(
    path: str, on_modified: collections.abc.Callable[[], None]
) -> None:
    """Calls `on_modified` whenever the settings file has changed.

    Args:
        path: The settings file; empty if there is none.
        on_modified: Reloads the file.
    """
    read_ns = gateway.modified_ns(path)
    while True:
        await asyncio.sleep(SETTINGS_CHECK_S)
        modified_ns = gateway.modified_ns(path)
        if modified_ns != read_ns:
            read_ns = modified_ns
            on_modified()


def reload(
    path: str, current: gateway.GatewaySettings
) -> gateway.GatewaySettings | None:
    """Reads the settings file again and logs what has changed.

    Args:
        path: The settings file; empty if there is none.
        current: The settings in use.

    Returns:
        The settings read, or `None` if there is no file or it is invalid.
    """
    if not path:
        return None
    match gateway.load(path):
        case expression.Result(tag="ok", ok=settings):
            _log_changes(current, settings)
            return settings
        case expression.Result(error=detail):
            log.write(log.Event.RELOADED, error=detail, changed=[])
            return None


def _log_changes(
    current: gateway.GatewaySettings, settings: gateway.GatewaySettings
) -> None:
    """Logs the fields that differ from the settings in use."""
    changed = [
        field.name
        for field in dataclasses.fields(settings)
        if getattr(settings, field.name) != getattr(current, field.name)
    ]
    # Open ports don't change: the platform assigns them.
    restart_names = [name for name in changed if name in RESTART_FIELDS]
    log.write(log.Event.RELOADED, changed=changed, at_restart=restart_names)
