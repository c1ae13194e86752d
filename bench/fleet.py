"""Starts the processes of a deployment on one machine and injects faults.

It starts processes in place of the platform; no process of the product starts
another.
"""

import collections.abc
import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import urllib3
import yaml

from bench import controls
from hyssoptack.core import catalog
from hyssoptack.settings import catalog as catalog_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent
PLATFORM_OFFSET = 400
WAN_OFFSET = 450
START_LIMIT_S = 20.0
STOP_LIMIT_S = 20.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """Options of a run.

    Attributes:
        deployment: Name of a folder under deploy/.
        services: Services to run; empty for all.
        service_ms: Mean time of an upstream's search.
        instance_overrides: Settings that replace those of each instance.
        port_shift: Number added to every port, to separate concurrent runs.
        list_lag_ms: Lag of the instance list.
        catalog_document: Configuration to use instead of the deployment's; the
            fleet then starts no upstreams.
        instances: Instances to use instead of the deployment's.
        hedging: Hedging policy: quantile, none or fixed:MS.
        admission: Whether admission may reject requests; false only as a
            baseline.
    """

    deployment: str = "dakar"
    services: tuple[str, ...] = ()
    service_ms: float = 2.0
    instance_overrides: dict = dataclasses.field(default_factory=dict)
    port_shift: int = 0
    list_lag_ms: float = 1_000.0
    catalog_document: dict | None = None
    instances: tuple[dict, ...] = ()
    hedging: str = "quantile"
    admission: bool = True


class Fleet(controls.Controls):
    """The processes of one run.

    Attributes:
        on_stop: Functions to call before the processes are killed.
    """

    def __init__(self, options: Options, run_folder: pathlib.Path):
        self.options = options
        self.folder = run_folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.http = urllib3.PoolManager(
            num_pools=200, retries=False, timeout=5.0
        )
        self.processes: dict[str, subprocess.Popen] = {}
        self.on_stop: list[collections.abc.Callable[[], None]] = []
        source = ROOT / "deploy" / options.deployment
        self._plan = yaml.safe_load((source / "fleet.yaml").read_text("utf-8"))
        self.catalog_path = self.folder / "catalog.yaml"
        self.catalog = self._write_catalog(source / "catalog.yaml")
        self.instances = [
            self._shift_ports(each)
            for each in options.instances or self._plan["instances"]
        ]
        self.domains = sorted(
            {each["failure_domain"] for each in self.instances}
        )
        self.balancer_address = self._address(self._plan["balancer_address"])
        self._base = int(self._plan["balancer_address"].rpartition(":")[2])

    # Addresses and files.

    def _address(self, address: str) -> str:
        host, _, port = address.rpartition(":")
        return f"{host}:{int(port) + self.options.port_shift}"

    def _shift_ports(self, each: dict) -> dict:
        return {
            name: self._address(value) if name.endswith("_address") else value
            for name, value in each.items()
        }

    def _write_catalog(self, source: pathlib.Path) -> catalog.Catalog:
        document = self.options.catalog_document
        if document is not None:
            return self._save_catalog(document, source)
        document = yaml.safe_load(source.read_text("utf-8"))
        wanted = self.options.services or tuple(document["services"])
        document["services"] = {
            name: document["services"][name] for name in wanted
        }
        for service in document["services"].values():
            for shard in service["shards"]:
                for upstream in shard["upstreams"]:
                    upstream["address"] = self._address(upstream["address"])
        return self._save_catalog(document, source)

    def _save_catalog(
        self, document: dict, source: pathlib.Path
    ) -> catalog.Catalog:
        text = yaml.safe_dump(document, allow_unicode=True)
        self.catalog_path.write_text(text, "utf-8")
        parts, errors = catalog_settings.split(text, str(source))
        if errors:
            raise controls.FleetError(str(errors[0]))
        return catalog_settings.assemble(0, parts, str(source))[0]

    def _port(self, offset: int) -> str:
        return f"127.0.0.1:{self._base + offset + self.options.port_shift}"

    def store_address(self, domain: str) -> str:
        """Returns the address at which a domain reaches the store."""
        return self._port(PLATFORM_OFFSET + self.domains.index(domain))

    def members_address(self, domain: str) -> str:
        """Returns the address at which a domain reaches the instance list."""
        return self._port(PLATFORM_OFFSET + 10 + self.domains.index(domain))

    def wan_address(self) -> str:
        """Returns the control address of the wide-area network stand-in."""
        return self._port(PLATFORM_OFFSET + 20)

    def _routes(self) -> list[dict]:
        routes = []
        for viewer in self.domains:
            for each in self.instances:
                if each["failure_domain"] != viewer:
                    routes.append(
                        {
                            "viewer": viewer,
                            "domain": each["failure_domain"],
                            "instance_id": each["instance_id"],
                            "address": self._port(WAN_OFFSET + len(routes)),
                            "target": each["peer_address"],
                        }
                    )
        return routes

    def views(self) -> dict[str, dict[str, str]]:
        """Returns, for each domain, the peer addresses of the other domains."""
        result: dict[str, dict[str, str]] = {each: {} for each in self.domains}
        for route in self._routes():
            result[route["viewer"]][route["instance_id"]] = route["address"]
        return result

    def log_path(self, instance_id: str) -> pathlib.Path:
        """Returns the path of an instance's event log."""
        return self.folder / f"{instance_id}.log"

    def _settings_path(self, each: dict) -> pathlib.Path:
        domain = each["failure_domain"]
        document = {
            **each,
            "log_path": str(self.log_path(each["instance_id"])),
            "platform": {
                "store_address": self.store_address(domain),
                "instance_list_address": self.members_address(domain),
            },
        }
        for name, value in self.options.instance_overrides.items():
            if isinstance(value, dict):
                document[name] = {**document.get(name, {}), **value}
            else:
                document[name] = value
        path = self.folder / f"{each['instance_id']}.yaml"
        path.write_text(yaml.safe_dump(document), "utf-8")
        return path

    # Processes.

    def start(self) -> None:
        """Starts the fleet, applies the configuration and waits until ready."""
        self._start_platform()
        if self.options.catalog_document is None:
            self._start_upstreams()
        for each in self.instances:
            self.start_instance(each["instance_id"])
        self._wait_for_store()
        self.run_cli("config", "apply", str(self.catalog_path))
        self._start_process(
            "balancer",
            "hyssoptack.standins.balancer",
            *self._balancer_arguments(),
        )
        self.wait_ready([each["instance_id"] for each in self.instances])

    def _balancer_arguments(self) -> list[str]:
        words = ["--listen", self.balancer_address]
        for each in self.instances:
            words += [
                "--backend",
                f"{each['front_address']}={each['operator_address']}",
            ]
        return words

    def _start_platform(self) -> None:
        listens = []
        lists = []
        for domain in self.domains:
            listens += ["--listen", f"{domain}={self.store_address(domain)}"]
            lists += ["--listen", f"{domain}={self.members_address(domain)}"]
        self._start_process("store", "hyssoptack.standins.store", *listens)
        for each in self.instances:
            lists += ["--operator", each["operator_address"]]
        self._start_process(
            "members",
            "hyssoptack.standins.members",
            *lists,
            "--views",
            json.dumps(self.views()),
            "--lag-ms",
            str(self.options.list_lag_ms),
        )
        self._start_process(
            "wan",
            "hyssoptack.standins.wan",
            "--control",
            self.wan_address(),
            "--routes",
            json.dumps(self._routes()),
            "--one-way-ms",
            str(self._plan["one_way_between_domains_ms"]),
        )

    def _start_upstreams(self) -> None:
        for service in self.catalog.services.values():
            for shard in service.shards:
                for upstream_id in shard.upstream_ids:
                    self.start_upstream(upstream_id)

    def _shard_of(
        self, upstream_id: str
    ) -> tuple[catalog.Service, catalog.Shard]:
        for service in self.catalog.services.values():
            for shard in service.shards:
                if upstream_id in shard.upstream_ids:
                    return service, shard
        raise controls.FleetError(f"no upstream {upstream_id}")

    def start_upstream(self, upstream_id: str) -> None:
        """Starts one upstream."""
        service, shard = self._shard_of(upstream_id)
        upstream = service.upstreams[upstream_id]
        self._start_process(
            upstream_id,
            "hyssoptack.standins.upstream",
            "--upstream-id",
            upstream_id,
            "--service",
            service.name,
            "--address",
            upstream.address,
            "--low",
            str(shard.key_range.low),
            "--high",
            str(shard.key_range.high),
            "--slot-count",
            str(upstream.slot_count),
            "--connection-limit-count",
            str(upstream.connection_limit_count),
            "--connect-cost-ms",
            str(upstream.connect_cost_ms),
            "--service-ms",
            str(self.options.service_ms),
        )

    def start_instance(self, instance_id: str) -> None:
        """Starts one entry instance."""
        path = self._settings_path(self.instance(instance_id))
        module = "hyssoptack.scripts.main"
        words = ["entry", str(path)]
        if self.options.hedging != "quantile" or not self.options.admission:
            module = "bench.baseline_entry"
            words = [
                str(path),
                "--hedges",
                self.options.hedging,
                "--admits" if self.options.admission else "--no-admits",
            ]
        self._start_process(instance_id, module, *words)

    def _start_process(self, name: str, module: str, *words: str) -> None:
        output = open(self.folder / f"{name}.out", "a")  # noqa: SIM115
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *words],
            stdout=output,
            stderr=subprocess.STDOUT,
            cwd=ROOT,
            env=environment,
        )
        output.close()

    def run_cli(
        self, *words: str, check: bool = True
    ) -> subprocess.CompletedProcess:
        """Runs a `hyssoptack` command against this fleet."""
        domain = self.domains[0]
        environment = {
            **os.environ,
            "PYTHONPATH": str(ROOT),
            "HYSSOPTACK_STORE": self.store_address(domain),
            "HYSSOPTACK_MEMBERS": self.members_address(domain),
            "HYSSOPTACK_FRONT": self.balancer_address,
        }
        done = subprocess.run(
            [sys.executable, "-m", "hyssoptack.scripts.main", *words],
            capture_output=True,
            text=True,
            cwd=ROOT,
            env=environment,
            check=False,
        )
        if check and done.returncode:
            raise controls.FleetError(f"{words}: {done.stdout}{done.stderr}")
        return done

    # Faults.

    def instance(self, instance_id: str) -> dict:
        """Returns the plan entry of an instance, with its addresses."""
        for each in self.instances:
            if each["instance_id"] == instance_id:
                return each
        raise controls.FleetError(f"no instance {instance_id}")

    def kill(self, name: str) -> None:
        """Kills a process (SIGKILL) and waits for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def pause(self, name: str) -> None:
        """Suspends a process (SIGSTOP)."""
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process (SIGCONT)."""
        self.processes[name].send_signal(signal.SIGCONT)

    def terminate(self, name: str) -> int:
        """Terminates a process (SIGTERM), waits and returns its exit status."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(STOP_LIMIT_S)

    # Waiting and shutdown.

    def _wait_for_store(self) -> None:
        self.wait_for(
            lambda: self._responds(
                self.store_address(self.domains[0]), "/account"
            ),
            "the store",
        )

    def _responds(self, address: str, path: str) -> bool:
        try:
            response = self.http.request("GET", f"http://{address}{path}")
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def is_ready(self, instance_id: str) -> bool:
        """Returns whether an instance reports that it is ready."""
        address = self.instance(instance_id)["operator_address"]
        return self._responds(address, "/readyz")

    def wait_ready(self, instance_ids: list[str]) -> None:
        """Waits until the instances and the balancer are ready."""
        for each in instance_ids:
            self.wait_for(lambda name=each: self.is_ready(name), each)
            if self.processes[each].poll() is not None:
                # A process of another run responds on this port.
                raise controls.FleetError(
                    f"{each} ended; another process uses its port"
                )
        if "balancer" in self.processes:
            # The balancer probes the instances five times per second.
            time.sleep(0.6)

    def wait_for(
        self, condition, what: str, limit_s: float = START_LIMIT_S
    ) -> float:
        """Waits until a condition holds; returns the time in seconds."""
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > limit_s:
                raise controls.FleetError(f"{what}: not within {limit_s} s")
            time.sleep(0.05)
        return time.monotonic() - started_s

    def stop(self) -> None:
        """Kills every process that this fleet started."""
        for function in self.on_stop:
            function()
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_details: object) -> None:
        self.stop()
