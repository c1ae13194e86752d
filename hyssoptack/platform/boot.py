"""Finds the settings file that the platform provides for a process."""

import os

_SETTINGS_VARIABLE = "HYSSOPTACK_BOOT"


def settings_path() -> str:
    """Returns the settings file's path; empty outside the platform."""
    return os.environ.get(_SETTINGS_VARIABLE, "")
