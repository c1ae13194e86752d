"""Computes request fingerprints, which identify repeats of a request.

A caller's request id is different in each attempt, as are other headers. The
effect of a request on an upstream depends on its method, host, path, query and
body, so the fingerprint covers these.
"""

import hashlib

DIGEST_BYTES = 8
"""Size at which the probability that any two among a million requests share a
fingerprint is 1 in 37 million in total. The hash is cryptographic so that
callers can't construct a request with the fingerprint of another. Hashing a
request without a body takes 2 us."""

LENGTH_BYTES = 4


def compute(method: bytes, host: str, target: bytes, body: bytes) -> str:
    """Returns a request's fingerprint in hexadecimal digits.

    Args:
        method: HTTP method.
        host: Host name, in any case.
        target: Path and query.
        body: Complete body.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for each in (method, host.lower().encode(), target, body):
        digest.update(len(each).to_bytes(LENGTH_BYTES, "big"))
        digest.update(each)
    return digest.hexdigest()
