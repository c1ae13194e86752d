"""Starts processes with minimal upstreams and describes them as a service."""

import subprocess
import sys

from hyssoptack.core import catalog
from hyssoptack.core import keyspace

PORT = 26_000
FARM_COUNT = 4


class Farms:
    """Processes that together serve a number of minimal upstreams."""

    def __init__(self, upstream_count: int):
        self.upstream_count = upstream_count
        self._processes: list[subprocess.Popen] = []

    def __enter__(self) -> "Farms":
        share = -(-self.upstream_count // FARM_COUNT)
        for first in range(0, self.upstream_count, share):
            count = min(share, self.upstream_count - first)
            words = (PORT + first, count, first, self.upstream_count)
            self._processes.append(
                subprocess.Popen(
                    [
                        sys.executable,
                        "-m",
                        "bench.slopes.farm",
                        *map(str, words),
                    ],
                    stdout=subprocess.PIPE,
                )
            )
        for process in self._processes:
            process.stdout.readline()
        return self

    def __exit__(self, *_details: object) -> None:
        for process in self._processes:
            process.kill()
            process.wait()

    def upstreams(self) -> list[catalog.Upstream]:
        """Returns the catalog entries of the upstreams."""
        return [
            catalog.Upstream(
                upstream_id=f"upstream-{number:04d}",
                failure_domain="plateau",
                address=f"127.0.0.1:{PORT + number}",
                slot_count=16,
                connection_limit_count=100,
                connect_cost_ms=0.0,
            )
            for number in range(self.upstream_count)
        ]

    def document(self) -> dict:
        """Returns the service as a configuration document."""
        size = keyspace.KEYSPACE_SIZE_COUNT
        shards = [
            {
                "shard_id": f"shard-{number:04d}",
                "low": size * number // self.upstream_count,
                "high": size * (number + 1) // self.upstream_count,
                "upstreams": [
                    {
                        "upstream_id": upstream.upstream_id,
                        "failure_domain": upstream.failure_domain,
                        "address": upstream.address,
                    }
                ],
            }
            for number, upstream in enumerate(self.upstreams())
        ]
        return {
            "profiles": {
                "wide": {
                    "deadline_ms": 2_000,
                    "coverage_floor_ratio": 0.9,
                    "extra_load_ceiling_ratio": 0.05,
                }
            },
            "services": {
                "wide": {
                    "team": "bench",
                    "profile": "wide",
                    "upstream_defaults": {
                        "slot_count": 16,
                        "connection_limit_count": 100,
                        "connect_cost_ms": 0,
                    },
                    "shards": shards,
                }
            },
        }
