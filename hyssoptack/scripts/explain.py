"""`hyssoptack explain`: the story of one request from logs."""

import pathlib
import sys

import cyclopts

from hyssoptack.reports import timeline

EXIT_OK = 0
EXIT_NOT_FOUND = 1
EXIT_USAGE = 2

application = cyclopts.App(
    name="explain", help="Tell the story of one request from logs."
)


@application.default
def explain(request_id: str, *logs: pathlib.Path) -> int:
    """Tells the story of one request.

    Args:
        request_id: The id that the caller sent.
        logs: Log files of all instances that may have served it.

    Returns:
        The exit code: 1 when no line names the request.
    """
    lines: list[str] = []
    for path in logs:
        try:
            lines.extend(path.read_text("utf-8", "replace").splitlines())
        except OSError as error:
            print(f"{path}: {error.strerror}", file=sys.stderr)
            return EXIT_USAGE
    told = timeline.for_request(timeline.read(lines), request_id)
    print(timeline.text(told))
    return EXIT_OK if told else EXIT_NOT_FOUND
