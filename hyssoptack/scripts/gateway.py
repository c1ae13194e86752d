"""`python -m hyssoptack.scripts.gateway [SETTINGS]`: runs one gateway.

A separate module from the main command line, so that it imports only what the
daemon needs: each import lengthens every start on a small machine.
"""

import os
import signal
import sys

# Must precede the other imports: a SIGHUP during the start, for a reload, must
# not terminate the process. The settings are read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from hyssoptack.gateway import earlyport
from hyssoptack.platform import boot

EXIT_USAGE = 2


def _settings_path() -> str:
    return sys.argv[1] if len(sys.argv) == 2 else boot.settings_path()


if __name__ == "__main__":
    # From here on callers can connect; imports take 0.4 s and more.
    _CALLERS_PORT = earlyport.open_callers_port(_settings_path())
else:
    _CALLERS_PORT = None

import expression

from hyssoptack.events import writer
from hyssoptack.gateway import daemon
from hyssoptack.settings import gateway


def main() -> int:
    """Runs a gateway; returns the exit code."""
    path = _settings_path()
    if not path:
        print(
            "usage: python -m hyssoptack.scripts.gateway SETTINGS",
            file=sys.stderr,
        )
        return EXIT_USAGE
    match gateway.load(path):
        case expression.Result(tag="ok", ok=settings):
            writer.open_stdout(settings.instance_id)
            daemon.run(settings, path, _CALLERS_PORT)
            writer.flush()
            # Exits without waiting for the threads of libraries.
            os._exit(0)
        case expression.Result(error=detail):
            print(f"hyssoptack: {detail}", file=sys.stderr)
            return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
