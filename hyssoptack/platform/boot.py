"""Where the platform leaves a process's settings."""

import os

_SETTINGS_VARIABLE = "HYSSOPTACK_BOOT"


def settings_path() -> str:
    """Returns the settings file's path, or nothing outside the platform."""
    return os.environ.get(_SETTINGS_VARIABLE, "")
