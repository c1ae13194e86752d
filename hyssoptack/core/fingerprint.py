"""Names a request by its content, so that a repeat of it is recognised.

Callers' ids name one attempt each. What an upstream makes of a request follows
from its method, host, path, query and body; other headers differ from attempt
to attempt.
"""

import hashlib

DIGEST_BYTES = 8
"""Two of a million requests share a name in 1 of 37 million cases; the hash is
a cryptographic one so that no caller makes up a request that shares another's
name. Takes 2 us for a request without a body."""

LENGTH_BYTES = 4


def compute(method: bytes, host: str, target: bytes, body: bytes) -> str:
    """Returns a request's fingerprint, in hexadecimal digits.

    Args:
        method: Its method.
        host: The host that it names.
        target: Its path and query.
        body: Its whole body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for each in (method, host.lower().encode(), target, body):
        digest.update(len(each).to_bytes(LENGTH_BYTES, "big"))
        digest.update(each)
    return digest.hexdigest()
