"""`hyssoptack explain`: the timeline of one request from log files."""

import pathlib
import sys

import cyclopts

from hyssoptack.reports import timeline

EXIT_OK = 0
EXIT_NOT_FOUND = 1
EXIT_USAGE = 2

application = cyclopts.App(
    name="explain", help="Show the timeline of one request from log files."
)


@application.default
def explain(request_id: str, *logs: pathlib.Path) -> int:
    """Shows the timeline of one request.

    Args:
        request_id: The request id that the caller sent.
        logs: Log files of all instances that may have served it.

    Returns:
        The exit code: 1 if no line has the request id.
    """
    lines: list[str] = []
    for path in logs:
        try:
            lines.extend(path.read_text("utf-8", "replace").splitlines())
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return EXIT_USAGE
    entries = timeline.for_request(timeline.read(lines), request_id)
    print(timeline.text(entries))
    return EXIT_OK if entries else EXIT_NOT_FOUND
