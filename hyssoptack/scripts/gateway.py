"""`python -m hyssoptack.scripts.gateway [SETTINGS]`: runs one gateway.

The main command line offers the same; this one imports nothing that the daemon
does not need, as a small machine pays for each import at every start.
"""

import os
import signal
import sys

# Before all else is imported: a reload asked for while the process starts must
# not end it. It reads its settings later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import expression

from hyssoptack.events import writer
from hyssoptack.gateway import daemon
from hyssoptack.platform import boot
from hyssoptack.settings import gateway

EXIT_USAGE = 2


def main() -> int:
    """Runs a gateway; returns the exit code."""
    path = sys.argv[1] if len(sys.argv) == 2 else boot.settings_path()
    if not path:
        print("usage: gateway SETTINGS", file=sys.stderr)
        return EXIT_USAGE
    match gateway.load(path):
        case expression.Result(tag="ok", ok=settings):
            writer.open_stdout(settings.instance_id)
            daemon.run(settings, path)
            writer.flush()
            # Library threads must not hold up the end of a stopped process.
            os._exit(0)
        case expression.Result(error=detail):
            print(f"hyssoptack: {detail}", file=sys.stderr)
            return EXIT_USAGE


if __name__ == "__main__":
    sys.exit(main())
