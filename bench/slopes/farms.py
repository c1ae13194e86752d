"""Starts farms of cheap leaves and describes them as a service."""

import subprocess
import sys

from hyssoptack.core import catalog
from hyssoptack.core import keyspace

PORT = 26_000
FARM_COUNT = 4


class Farms:
    """Processes that serve a number of cheap leaves together."""

    def __init__(self, leaf_count: int):
        self.leaf_count = leaf_count
        self._processes: list[subprocess.Popen] = []

    def __enter__(self) -> "Farms":
        share = -(-self.leaf_count // FARM_COUNT)
        for first in range(0, self.leaf_count, share):
            count = min(share, self.leaf_count - first)
            words = (PORT + first, count, first, self.leaf_count)
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

    def leaves(self) -> list[catalog.Leaf]:
        """Returns the leaves' records."""
        return [
            catalog.Leaf(
                leaf_id=f"leaf-{number:04d}",
                failure_domain="plateau",
                address=f"127.0.0.1:{PORT + number}",
                slot_count=16,
                connection_limit_count=100,
                connect_cost_ms=0.0,
            )
            for number in range(self.leaf_count)
        ]

    def document(self) -> dict:
        """Returns the service as a configuration document."""
        size = keyspace.KEYSPACE_SIZE_COUNT
        shards = [
            {
                "shard_id": f"shard-{number:04d}",
                "low": size * number // self.leaf_count,
                "high": size * (number + 1) // self.leaf_count,
                "leaves": [
                    {
                        "leaf_id": leaf.leaf_id,
                        "failure_domain": leaf.failure_domain,
                        "address": leaf.address,
                    }
                ],
            }
            for number, leaf in enumerate(self.leaves())
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
                    "association": "bench",
                    "profile": "wide",
                    "leaf_defaults": {
                        "slot_count": 16,
                        "connection_limit_count": 100,
                        "connect_cost_ms": 0,
                    },
                    "shards": shards,
                }
            },
        }
