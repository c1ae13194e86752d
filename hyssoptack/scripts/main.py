"""The main command line: `hyssoptack entry`, `config`, `report` and others."""

import json
import pathlib
import sys

import cyclopts
import msgspec

from hyssoptack.reports import burn as burn_report
from hyssoptack.reports import fleet
from hyssoptack.reports import teams as team_report
from hyssoptack.revisions import change
from hyssoptack.scripts import caller
from hyssoptack.scripts import commandline
from hyssoptack.scripts import explain
from hyssoptack.settings import catalog as catalog_settings
from hyssoptack.settings import instance

application = cyclopts.App(
    name="hyssoptack",
    help="A query tier between callers and a very large number of shards.",
)
config_application = cyclopts.App(
    name="config", help="Check, compare, apply and track the configuration."
)
upstream_application = cyclopts.App(
    name="upstream", help="Show upstreams as the instances see them."
)
instance_application = cyclopts.App(name="instance", help="Show the instances.")
report_application = cyclopts.App(name="report", help="Reports for operators.")
for _each in (
    config_application,
    upstream_application,
    instance_application,
    report_application,
):
    application.command(_each)
application.command(explain.application)


@application.command
def entry(settings: pathlib.Path) -> None:
    """Run an entry instance until SIGTERM; a second SIGTERM ends the drain.

    Args:
        settings: The instance's YAML file.
    """
    from hyssoptack.entry import daemon

    read, errors = instance.load(settings)
    if read is None:
        commandline.fail_settings(errors)
    daemon.run(read)


@config_application.command(name="check")
def config_check(
    file: pathlib.Path, *, as_json: commandline.AsJson = False
) -> None:
    """Check a configuration file and print all of its errors.

    Args:
        file: YAML with profiles and services.
    """
    parts = commandline.read_file(file)
    current, _ = catalog_settings.assemble(0, parts, str(file))
    counts = {
        "profiles": len(current.profiles),
        "services": len(current.services),
        "upstreams": sum(
            len(each.upstreams) for each in current.services.values()
        ),
        "largest_part_bytes": max(
            len(text.encode()) for text in parts.values()
        ),
    }
    if as_json:
        print(json.dumps(counts))
    else:
        shown = ", ".join(f"{value} {name}" for name, value in counts.items())
        print(f"{file}: valid: {shown}")


@config_application.command(name="diff")
def config_diff(
    file: pathlib.Path, *, store_address: commandline.StoreAddress
) -> None:
    """Show what a file would change; exit status 1 if it differs.

    Args:
        file: YAML with profiles and services.
    """
    parts = commandline.read_file(file)
    _, in_force = commandline.parts_in_force(
        commandline.store_client(store_address)
    )
    text = change.parts_diff(in_force, parts)
    print(text or "no difference")
    sys.exit(commandline.EXIT_FAILED if text else commandline.EXIT_OK)


@config_application.command(name="apply")
def config_apply(
    file: pathlib.Path,
    *,
    store_address: commandline.StoreAddress,
    author: str = "operator",
    on_revision: int | None = None,
    as_json: commandline.AsJson = False,
) -> None:
    """Apply a configuration file as the next revision.

    Exit status: 0 applied or unchanged, 1 not applied, 2 errors in the file,
    3 overtaken by another change, 4 outcome unknown (see `config history`).

    Args:
        file: YAML with profiles and services.
        author: Author of the change, for the history.
        on_revision: Apply only if this revision is in force.
    """
    parts = commandline.read_file(file)
    outcome = change.apply(
        commandline.store_client(store_address), parts, author, on_revision
    )
    match outcome:
        case change.Applied(revision=number, changed_parts=names):
            text, code = f"applied revision {number}: {', '.join(names)}", 0
        case change.Unchanged(revision=number):
            text, code = f"unchanged: revision {number} is already identical", 0
        case change.Overtaken(by=by, changed_parts=names):
            text = (
                f"overtaken by revision {by.revision} of {by.author}; "
                f"your file differs from it in: {', '.join(names) or 'nothing'}"
            )
            code = commandline.EXIT_OVERTAKEN
        case change.NotApplied(detail=detail):
            text, code = f"not applied: {detail}", commandline.EXIT_FAILED
        case change.Unsettled(change_id=change_id, detail=detail):
            text = f"outcome unknown: look for change {change_id}: {detail}"
            code = commandline.EXIT_UNSETTLED
    if as_json:
        kind = type(outcome).__name__.lower()
        document = {"outcome": kind, **msgspec.to_builtins(outcome)}
        print(json.dumps(document))
    else:
        print(text)
    sys.exit(code)


@config_application.command(name="status")
def config_status(
    *, members: commandline.MembersAddress, as_json: commandline.AsJson = False
) -> None:
    """Show the revision in force at each instance, and for how long.

    Exit status 1 if instances differ or do not answer.
    """
    readings = fleet.read(commandline.listed_members(members), "/status")
    revisions = {
        each.document["revision"] if each.document else None
        for each in readings
    }
    rows = [
        {
            "instance": each.member.instance_id,
            "failure_domain": each.member.failure_domain,
            "revision": each.document["revision"] if each.document else None,
            "in_force_s": round(each.document["in_force_ms"] / 1000, 1)
            if each.document
            else None,
            "state": each.document["state"] if each.document else each.error,
        }
        for each in readings
    ]
    if as_json:
        print(json.dumps(rows))
    else:
        for row in rows:
            print(
                f"{row['instance']:<18}{row['failure_domain']:<14}"
                f"revision {row['revision']}  for {row['in_force_s']} s  "
                f"{row['state']}"
            )
    sys.exit(
        commandline.EXIT_OK if len(revisions) == 1 else commandline.EXIT_FAILED
    )


@config_application.command(name="history")
def config_history(
    *,
    store_address: commandline.StoreAddress,
    as_json: commandline.AsJson = False,
) -> None:
    """Show the latest revisions, newest first."""
    head = commandline.head_in_force(commandline.store_client(store_address))
    trail = head.manifest.trail if head.manifest else ()
    if as_json:
        print(json.dumps(msgspec.to_builtins(trail)))
        return
    for each in trail:
        print(
            f"{each.revision:>6}  {each.applied_at_text}  {each.author:<14}"
            f"{each.change_id}  {', '.join(each.changed_parts)}"
        )


@upstream_application.command(name="list")
def upstream_list(
    *, members: commandline.MembersAddress, as_json: commandline.AsJson = False
) -> None:
    """Show the state of each upstream as the instances see it."""
    states_by_upstream: dict[str, dict[str, str]] = {}
    for each in fleet.read(commandline.listed_members(members), "/status"):
        for upstream in (each.document or {}).get("upstreams", ()):
            states = states_by_upstream.setdefault(upstream["upstream_id"], {})
            states[each.member.instance_id] = upstream["state"]
    if as_json:
        print(json.dumps(states_by_upstream))
        return
    for upstream_id, states in sorted(states_by_upstream.items()):
        counts: dict[str, int] = {}
        for state in states.values():
            counts[state] = counts.get(state, 0) + 1
        shown = ", ".join(f"{name} {count}" for name, count in counts.items())
        print(f"{upstream_id:<34}{shown}")


@instance_application.command(name="list")
def instance_list(
    *, members: commandline.MembersAddress, as_json: commandline.AsJson = False
) -> None:
    """Show the instances in the platform's instance list."""
    listed = commandline.listed_members(members)
    if as_json:
        print(json.dumps(msgspec.to_builtins(listed)))
        return
    for each in listed:
        state = "leaving" if each.leaving else "live"
        print(
            f"{each.instance_id:<18}{each.failure_domain:<14}{state:<9}"
            f"{each.operator_address}"
        )


@report_application.command(name="burn")
def report_burn(
    *,
    members: commandline.MembersAddress,
    store_address: commandline.StoreAddress,
    as_json: commandline.AsJson = False,
    plot: pathlib.Path | None = None,
) -> None:
    """Show how fast each service consumes its error budget.

    Args:
        plot: Also plot the report into this PNG file.
    """
    readings = fleet.read(commandline.listed_members(members), "/burn")
    documents = [
        each.document for each in readings if each.document is not None
    ]
    totals = burn_report.merge(documents)
    report = burn_report.rows(
        totals, commandline.catalog_in_force(store_address)
    )
    if as_json:
        print(json.dumps(msgspec.to_builtins(report)))
    else:
        print(burn_report.text(report))
    for each in readings:
        if each.document is None:
            print(
                f"no data from {each.member.instance_id}: {each.error}",
                file=sys.stderr,
            )
    if plot is not None:
        burn_report.plot(report, plot)


@report_application.command(name="teams")
def report_teams(
    *logs: pathlib.Path, as_json: commandline.AsJson = False
) -> None:
    """Show what became of each team's requests, and its rate limit.

    Args:
        logs: Log files of all instances; each file is in order of time.
    """
    try:
        totals = team_report.count(logs)
    except OSError as error:
        commandline.fail(
            f"{error.filename}: {error.strerror}", commandline.EXIT_USAGE
        )
    if as_json:
        print(json.dumps(team_report.document(totals)))
    else:
        print(team_report.text(totals))


@application.command
def query(
    service: str,
    text: str,
    *,
    front: commandline.FrontAddress,
    limit: int = 10,
    deadline_ms: int | None = None,
    urgent: bool = False,
) -> None:
    """Send one search request and print the answer.

    Args:
        service: The service to search.
        text: The words to search for.
        limit: Maximum number of hits.
        deadline_ms: A deadline shorter than the profile's.
        urgent: Send it as an urgent lookup.
    """
    result = caller.search(front, service, text, limit, deadline_ms, urgent)
    print(result.text)
    sys.exit(
        commandline.EXIT_OK
        if result.status == caller.STATUS_OK
        else commandline.EXIT_FAILED
    )


@application.command
def act(
    service: str,
    subject: str,
    request: str,
    *,
    key: str,
    front: commandline.FrontAddress,
) -> None:
    """Send one non-idempotent request and print its outcome.

    Args:
        service: The service to act on.
        subject: The object of the action, such as a tail number.
        request: The request as a JSON object.
        key: The idempotency key; a request with the same key never runs twice.
    """
    try:
        document = json.loads(request)
    except json.JSONDecodeError as error:
        commandline.fail(
            f"request: not valid JSON: {error}", commandline.EXIT_USAGE
        )
    result = caller.act(front, service, subject, document, key)
    print(result.text)
    sys.exit(
        commandline.EXIT_OK
        if result.status == caller.STATUS_OK
        else commandline.EXIT_FAILED
    )


def main() -> None:
    """Runs the command line."""
    application()


if __name__ == "__main__":
    main()
