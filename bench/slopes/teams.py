"""Cost of a configuration by its number of teams, at one gateway instance."""

import json
import secrets
import statistics
import tracemalloc

from bench.slopes import fit
from hyssoptack.core import traffic
from hyssoptack.peers import codec
from hyssoptack.platform import storeformat

TEAM_COUNTS = (100, 1_000, 5_000, 10_000, 20_000)
KEYS_PER_TEAM_COUNT = 1
KEY_BYTES = 16
REPEAT_COUNT = 7
FIND_COUNT = 100_000


def _stored(team_count: int) -> bytes:
    """Returns a stored configuration with random keys and no routes."""
    document = {
        "version": 1,
        "routes": [],
        "services": [],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 262_144,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": f"team-{number:05d}",
                "api_keys": [
                    secrets.token_hex(KEY_BYTES)
                    for _ in range(KEYS_PER_TEAM_COUNT)
                ],
                "priority": number % 3,
                "rate_per_s": 20.0 + number % 50,
                "burst": 20.0,
            }
            for number in range(team_count)
        ],
    }
    return json.dumps(document).encode()


def _decode(data: bytes) -> traffic.Configuration:
    return storeformat.parse_configuration(data).ok


def _decode_ms(data: bytes) -> float:
    times_ms = []
    for _ in range(REPEAT_COUNT):
        with fit.Stopwatch() as watch:
            _decode(data)
        times_ms.append(watch.cpu_ms)
    return statistics.median(times_ms)


def _find_us(configuration: traffic.Configuration) -> float:
    key = secrets.token_hex(KEY_BYTES).encode()
    with fit.Stopwatch() as watch:
        for _ in range(FIND_COUNT):
            configuration.team_directory.find(key)
    return watch.cpu_ms * 1000 / FIND_COUNT


def _memory_mb(data: bytes) -> tuple[float, float]:
    """Returns the retained memory of a configuration, and its peak."""
    tracemalloc.start()
    configuration = _decode(data)
    retained, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del configuration
    return retained / 1e6, peak / 1e6


def _row(team_count: int) -> dict[str, float]:
    data = _stored(team_count)
    compressed = codec.compress(data)
    retained_mb, peak_mb = _memory_mb(data)
    return {
        "teams": team_count,
        "stored_kb": round(len(data) / 1e3, 1),
        "compressed_kb": round(len(compressed) / 1e3, 1),
        "decode_ms": round(_decode_ms(data), 2),
        "find_us": round(_find_us(_decode(data)), 2),
        "retained_mb": round(retained_mb, 2),
        "peak_mb": round(peak_mb, 2),
    }


def main() -> None:
    """Prints the measurements and the lines fitted to them."""
    rows = [_row(count) for count in TEAM_COUNTS]
    counts = [row["teams"] for row in rows]
    lines = {
        name: fit.fit_line(counts, [row[name] for row in rows])
        for name in ("compressed_kb", "decode_ms", "retained_mb")
    }
    fit.report("teams", rows, lines)


if __name__ == "__main__":
    main()
