"""Parameters, exit codes, inputs and errors that the commands share."""

import pathlib
import sys
import typing

import cyclopts
import expression

from hyssoptack.core import catalog
from hyssoptack.core import member
from hyssoptack.revisions import change
from hyssoptack.revisions import members as members_client
from hyssoptack.revisions import store
from hyssoptack.settings import catalog as catalog_settings
from hyssoptack.settings import instance
from hyssoptack.settings import validation

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_OVERTAKEN = 3
EXIT_UNSETTLED = 4

StoreAddress = typing.Annotated[
    str,
    cyclopts.Parameter(
        name="--store",
        env_var="HYSSOPTACK_STORE",
        help="IP:port of the platform's key-value service.",
    ),
]
MembersAddress = typing.Annotated[
    str,
    cyclopts.Parameter(
        name="--members",
        env_var="HYSSOPTACK_MEMBERS",
        help="IP:port of the platform's instance list.",
    ),
]
FrontAddress = typing.Annotated[
    str,
    cyclopts.Parameter(
        name="--front",
        env_var="HYSSOPTACK_FRONT",
        help="IP:port of the balancer or of one instance.",
    ),
]
AsJson = typing.Annotated[
    bool, cyclopts.Parameter(name="--json", help="Print JSON.")
]


def fail(text: str, code: int = EXIT_FAILED) -> typing.NoReturn:
    """Prints an error and ends the process with an exit code."""
    print(text, file=sys.stderr)
    sys.exit(code)


def fail_settings(errors: list[validation.SettingsError]) -> typing.NoReturn:
    """Prints errors in a settings file and ends the process."""
    fail("\n".join(str(each) for each in errors), EXIT_USAGE)


def _platform(
    store_address: str, members_address: str
) -> instance.PlatformSettings:
    for address in (store_address, members_address):
        if not validation.is_address(address):
            fail(
                f"invalid address {address!r}: expected IP:port",
                EXIT_USAGE,
            )
    return instance.PlatformSettings(
        store_address=store_address,
        instance_list_address=members_address,
        timeout_ms=2_000.0,
        watch_ms=1_000.0,
        instance_list_lag_ms=0.0,
        list_period_ms=1_000.0,
        watcher_count=1,
    )


def store_client(address: str) -> store.StoreClient:
    """Returns a client of the store at an address."""
    # The client uses only one of the two addresses.
    return store.StoreClient(_platform(address, address))


def read_file(file: pathlib.Path) -> dict[str, str]:
    """Returns the parts of a configuration file; ends the process on errors."""
    try:
        text = file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{file}: {error}", EXIT_USAGE)
    parts, errors = catalog_settings.split(text, str(file))
    if errors:
        fail_settings(errors)
    return parts


def listed_members(address: str) -> tuple[member.Member, ...]:
    """Returns the instances listed; ends the process on errors."""
    client = members_client.MembersClient(_platform(address, address))
    match client.read():
        case expression.Result(tag="ok", ok=listing):
            return listing.members
        case expression.Result(error=detail):
            fail(f"failed to read the instance list: {detail}")


def head_in_force(client: store.StoreClient) -> change.Head:
    """Returns the store's head; ends the process if it cannot be read."""
    match change.read_head(client):
        case expression.Result(tag="ok", ok=head):
            return head
        case expression.Result(error=unreachable):
            fail(f"failed to read the store: {unreachable.detail}")


def parts_in_force(
    client: store.StoreClient,
) -> tuple[change.Head, dict[str, str]]:
    """Returns the head and its parts; ends the process on errors."""
    head = head_in_force(client)
    match change.read_parts(client, head):
        case expression.Result(tag="ok", ok=parts):
            return head, parts
        case expression.Result(error=unreachable):
            fail(f"failed to read the store: {unreachable.detail}")


def catalog_in_force(store_address: str) -> catalog.Catalog:
    """Returns the catalog in force; ends the process on errors."""
    head, parts = parts_in_force(store_client(store_address))
    current, errors = catalog_settings.assemble(
        head.revision(), parts, "configuration in force"
    )
    if errors:
        fail_settings(errors)
    return current
