"""Messages about the rate limits of teams (`hyssoptack.ratelimit`).

Every message carries the limit of the sender's configuration version. The
receiver applies the limit of the highest version that it knows.
"""

import dataclasses

from hyssoptack.core import decoding
from hyssoptack.core import teams


@dataclasses.dataclass(frozen=True, kw_only=True)
class VersionedLimit:
    """The rate limit of a team in one configuration version.

    Attributes:
        version: Version of the configuration.
        limit: The limit; None if the team is not limited in that version.
    """

    version: int
    limit: teams.RateLimit | None


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitRequest:
    """Requests permits from the owner of a team's bucket in a domain.

    Attributes:
        sender_id: Id of the instance that asks.
        sender_address: Address for the reply.
        ask_id: Id of the request, unique at the sender.
        team: Name of the team.
        limit: The team's limit as known to the sender.
        wanted_count: Permits for requests that wait at the sender.
        prefetch_count: Further permits, ahead of demand.
        held_count: Unused permits that the sender holds.
        skipped_ids: Instances of higher rank that the sender could not reach.
        spent_count: Requests that the sender has permitted without asking.
    """

    sender_id: str
    sender_address: str
    ask_id: int
    team: str
    limit: VersionedLimit
    wanted_count: int
    prefetch_count: int = 0
    held_count: int = 0
    skipped_ids: tuple[str, ...] = ()
    spent_count: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True)
class PermitReply:
    """Answers a permit request.

    Attributes:
        sender_id: Id of the owner, or of the instance that answers for it.
        ask_id: Id of the request.
        team: Name of the team.
        permit_count: Granted permits, including prefetched ones.
        retry_after_ms: If fewer than wanted were granted, the time until the
            team's bucket has a token again, in milliseconds.
        in_doubt: Whether the sender may own the bucket beside another instance,
            so that a refusal is not known to be right.
        redirect_id: Id of the instance that owns the bucket, if the receiver of
            the request has handed it over; else empty.
        redirect_address: Address of that instance.
        ask_first_ms: Time for which the receiver permits no request of the team
            without asking; 0 if the team is not restricted.
    """

    sender_id: str
    ask_id: int
    team: str
    permit_count: int = 0
    retry_after_ms: decoding.Finite = 0.0
    in_doubt: bool = False
    redirect_id: str = ""
    redirect_address: str = ""
    ask_first_ms: decoding.Finite = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class TransferRequest:
    """Requests tokens from the owner of a team's bucket in another domain.

    Attributes:
        sender_id: Id of the owner that asks.
        sender_address: Address for the reply.
        ask_id: Id of the request, unique at the sender.
        team: Name of the team.
        limit: The team's limit as known to the sender.
        wanted_count: Tokens that the sender can use now.
        forwarded: Whether an instance of the receiver's domain has passed the
            request on to the owner. It is passed on only once.
    """

    sender_id: str
    sender_address: str
    ask_id: int
    team: str
    limit: VersionedLimit
    wanted_count: decoding.Finite
    forwarded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandoverRequest:
    """Requests all tokens of a team from the former owner of its bucket.

    The receiver stops granting permits for the team.

    Attributes:
        sender_id: Id of the new owner.
        sender_address: Address for the reply.
        ask_id: Id of the request, unique at the sender.
        team: Name of the team.
    """

    sender_id: str
    sender_address: str
    ask_id: int
    team: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenReply:
    """Answers a transfer or a handover with tokens.

    The sender has already removed them from its bucket.

    Attributes:
        sender_id: Id of the instance that gives the tokens.
        ask_id: Id of the request.
        team: Name of the team.
        token_count: The tokens; 0 if there are none to give.
    """

    sender_id: str
    ask_id: int
    team: str
    token_count: decoding.Finite


@dataclasses.dataclass(frozen=True, kw_only=True)
class RestrictionNotice:
    """Tells the instances of a domain whether a team's bucket is low.

    Attributes:
        sender_id: Id of the owner.
        team: Name of the team.
        ask_first_ms: Time for which the receiver permits no request of the team
            without asking; 0 ends that time early.
    """

    sender_id: str
    team: str
    ask_first_ms: decoding.Finite


Message = (
    PermitRequest
    | PermitReply
    | TransferRequest
    | HandoverRequest
    | TokenReply
    | RestrictionNotice
)

KINDS: dict[int, type] = {
    27: PermitRequest,
    28: PermitReply,
    29: TransferRequest,
    30: HandoverRequest,
    31: TokenReply,
    32: RestrictionNotice,
}
"""Message classes by number, in the same sequence as `gatewaymessage.KINDS`."""
