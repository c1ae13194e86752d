"""Cost of heartbeats and of configuration spread by number of instances.

Endpoints consist of the product's gossip, links and state. Each process runs
ten of them, all in one failure domain. The benchmark measures processor time,
bytes and messages per second of an idle endpoint, and the time until a change
that one endpoint receives is in force on all.
"""

import asyncio
import json
import subprocess
import sys
import time

import uvloop

from bench.slopes import fit
from hyssoptack.core import catalog
from hyssoptack.core import clock
from hyssoptack.core import member
from hyssoptack.core import message
from hyssoptack.entry import state
from hyssoptack.hedging import hedging
from hyssoptack.peers import codec
from hyssoptack.peers import gossip
from hyssoptack.peers import link
from hyssoptack.revisions import configuration
from hyssoptack.settings import catalog as catalog_settings
from hyssoptack.settings import instance

SIZES = (8, 32, 100, 200)
PER_PROCESS_COUNT = 10
PORT = 28_000
IDLE_S = 8.0
SPREAD_COUNT = 5
SPREAD_LIMIT_S = 10.0


def _address(number: int) -> str:
    return f"127.0.0.1:{PORT + number}"


def _member(number: int) -> member.Member:
    return member.Member(
        instance_id=f"i{number:04d}",
        incarnation=f"i{number:04d}-a",
        failure_domain="d0",
        peer_address=_address(number),
        operator_address=_address(number),
    )


def _settings(number: int) -> instance.InstanceSettings:
    text = json.dumps(
        {
            "instance_id": f"i{number:04d}",
            "failure_domain": "d0",
            "front_address": "127.0.0.1:1",
            "operator_address": _address(number),
            "peer_address": _address(number),
            "platform": {
                "store_address": "127.0.0.1:1",
                "instance_list_address": "127.0.0.1:1",
            },
        }
    )
    settings, errors = instance.parse(text, "bench")
    assert not errors, errors
    return settings


class Endpoint:
    """The state, links and gossip of an instance."""

    def __init__(self, number: int, total: int):
        loop = asyncio.get_running_loop()
        settings = _settings(number)
        self.state = state.InstanceState(settings, hedging.NoHedge())
        self.config = configuration.ActiveConfiguration()
        self.revised_ms: dict[int, float] = {}
        self.links = link.Links(
            settings.peer_address,
            settings.peers.link_idle_ms,
            loop,
            codec.Codec(message.KINDS),
            self._on_received,
            lambda *_: None,
        )
        self.gossip = gossip.Gossip(
            self.state, self.config, self.links.send, self._on_config
        )
        members = tuple(_member(each) for each in range(total))
        self.state.merge_listed(members, clock.now_ms(), clock.now_ms())
        self.links.start()

    def _on_received(self, received: link.ReceivedFrame) -> None:
        for body in received.decoded.messages:
            match body:
                case message.Heartbeat():
                    self.gossip.on_heartbeat(body)
                case message.ConfigWanted():
                    self.gossip.on_config_wanted(body)
                case message.ConfigOffer():
                    self.gossip.on_config_offer(body)

    def _on_config(self, taken: configuration.NewConfiguration) -> None:
        self.revised_ms[taken.manifest.revision] = clock.now_ms()
        self.gossip.send_heartbeat()

    def put(self, revision: int) -> None:
        """Applies a new revision, as a store watcher does."""
        text = f"{{profiles: {{p{revision}: {{deadline_ms: {100 + revision}, "
        text += "coverage_floor_ratio: 0.5, extra_load_ceiling_ratio: 0.1}}}"
        digest = catalog_settings.digest_of(text)
        manifest = catalog.Manifest(
            revision=revision,
            change_id=f"c{revision}",
            author="bench",
            applied_at_text="",
            parts={"profiles": digest},
        )
        taken = self.config.merge_offer(
            configuration.encode_manifest(manifest), {digest: text}
        )
        self._on_config(taken)


async def _serve(first: int, count: int, total: int) -> None:
    """Runs endpoints and executes the commands on standard input."""
    endpoints = [Endpoint(first + index, total) for index in range(count)]
    gossip_tasks = [
        asyncio.ensure_future(each.gossip.run()) for each in endpoints
    ]
    loop = asyncio.get_running_loop()
    print("ready", flush=True)
    while True:
        line = await loop.run_in_executor(None, sys.stdin.readline)
        words = line.split()
        if not words:
            break
        if words[0] == "put":
            endpoints[0].put(int(words[1]))
            print(clock.now_ms(), flush=True)
        else:
            print(json.dumps([_report(each) for each in endpoints]), flush=True)
    for each in gossip_tasks:
        each.cancel()


def _report(endpoint: Endpoint) -> dict:
    traffic = endpoint.links.counters
    return {
        "bytes": traffic.sent_bytes + traffic.received_bytes,
        "messages": traffic.sent_message_count + traffic.received_message_count,
        "revised_ms": {str(k): v for k, v in endpoint.revised_ms.items()},
    }


class Process:
    """A child process that runs endpoints."""

    def __init__(self, first: int, count: int, total: int):
        words = (str(first), str(count), str(total))
        self.popen = subprocess.Popen(
            [sys.executable, "-m", "bench.slopes.gossip", *words],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )

    def read_line(self) -> str:
        """Returns the next line of the process's output."""
        return self.popen.stdout.readline()

    def send_command(self, text: str) -> str:
        """Sends a command and returns the response line."""
        self.popen.stdin.write(text + "\n")
        self.popen.stdin.flush()
        return self.read_line()


def _reports(processes: list[Process]) -> list[dict]:
    return [
        each
        for process in processes
        for each in json.loads(process.send_command("report"))
    ]


def _spread_ms(processes: list[Process], revision: int) -> float:
    put_ms = float(processes[0].send_command(f"put {revision}"))
    ends_s = time.monotonic() + SPREAD_LIMIT_S
    while time.monotonic() < ends_s:
        reports = _reports(processes)
        times = [each["revised_ms"].get(str(revision)) for each in reports]
        if all(times):
            return max(times) - put_ms
        time.sleep(0.2)
    return float("inf")


def _measure(total: int) -> dict:
    processes = [
        Process(first, min(PER_PROCESS_COUNT, total - first), total)
        for first in range(0, total, PER_PROCESS_COUNT)
    ]
    try:
        for process in processes:
            process.read_line()
        time.sleep(4.0)
        cpu_s = sum(fit.process_cpu_s(each.popen.pid) for each in processes)
        before = _reports(processes)
        time.sleep(IDLE_S)
        after = _reports(processes)
        used_s = (
            sum(fit.process_cpu_s(each.popen.pid) for each in processes) - cpu_s
        )
        spreads = [
            _spread_ms(processes, revision)
            for revision in range(1, SPREAD_COUNT + 1)
        ]
    finally:
        for process in processes:
            process.popen.kill()
            process.popen.wait()

    def rate(name: str) -> float:
        increase = sum(each[name] for each in after)
        increase -= sum(each[name] for each in before)
        return increase / total / IDLE_S

    return {
        "instances": total,
        "cpu_percent_of_core": round(100 * used_s / total / IDLE_S, 3),
        "bytes_per_s": round(rate("bytes"), 1),
        "messages_per_s": round(rate("messages"), 2),
        "spread_ms_median": round(fit.quantile(spreads, 0.5), 1),
        "spread_ms_most": round(max(spreads), 1),
    }


def main() -> None:
    """Reports the measurements; with arguments, runs a child process."""
    if len(sys.argv) > 1:
        uvloop.run(_serve(*map(int, sys.argv[1:])))
        return
    rows = [_measure(size) for size in SIZES]
    lines = {
        name: fit.fit_line(list(SIZES), [row[name] for row in rows])
        for name in (
            "cpu_percent_of_core",
            "bytes_per_s",
            "messages_per_s",
            "spread_ms_median",
        )
    }
    fit.report("gossip", rows, lines)


if __name__ == "__main__":
    main()
