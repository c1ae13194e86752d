"""A demo of a whole deployment on one machine."""

import pathlib
import sys
import time

import cyclopts

from bench import fleet

RUN_FOLDER = fleet.ROOT / "run" / "demo"

SEARCHES = {
    "dakar": (
        ("oven-kiosk", "baguette deck oven", False),
        ("oven-kiosk", "fault e61: damper", True),
        ("membership", "boulangerie medina member", False),
        ("training-portal", "steam lesson", False),
    ),
    "wales": (
        ("lesson-booking", "lesson slot cessna 152", False),
        ("lesson-booking", "check flight caernarfon", True),
        ("instructor-roster", "instructor megan morning", False),
        ("fleet-status", "piper warrior available", False),
    ),
}
ACTIONS = {
    "dakar": (
        "certification-register",
        "Fatou Diop",
        '{"entry": "master baker", "oven": "rotary"}',
    ),
    "wales": (
        "lesson-booking",
        "G-CYM12 hour 9",
        '{"student": "Elin Pugh", "lesson": "circuits"}',
    ),
}


def _print(text: str = "") -> None:
    print(text, flush=True)


def _show_searches(run: fleet.Fleet, deployment: str) -> None:
    for service, words, urgent in SEARCHES[deployment]:
        class_ = "urgent" if urgent else "browsing"
        body = {"text": words, "limit": 3, "class": class_}
        url = f"http://{run.balancer_address}/services/{service}/search"
        answer = run.http.request("POST", url, json=body).json()
        _print(f"\nsearch {service} ({class_}): {words!r}")
        for hit in answer["hits"]:
            _print(f"    {hit['score']:.2f}  {hit['title']}")
        _print(
            f"  coverage {answer['coverage_ratio']}, index version "
            f"{answer['index_version']}, {answer['upstream_call_count']} "
            f"calls of which {answer['extra_call_count']} extra, "
            f"{answer['elapsed_ms']} ms"
        )


def _show_action(run: fleet.Fleet, deployment: str) -> None:
    service, subject, request = ACTIONS[deployment]
    for number in (1, 2):
        _print(f"\naction {service}: {subject}, key demo-1, time {number}")
        words = ("act", service, subject, request, "--key", "demo-1")
        _print("  " + run.run_cli(*words).stdout.strip().replace("\n", "\n  "))


def _show_fault(run: fleet.Fleet, deployment: str) -> None:
    """Kills an upstream with replicas and shows that searches stay complete."""
    service = SEARCHES[deployment][0][0]
    killed_id = run.upstream_ids(service)[0]
    run.kill(killed_id)
    _print(f"\nkilled upstream {killed_id}; ten more searches of {service}:")
    url = f"http://{run.balancer_address}/services/{service}/search"
    body = {"text": SEARCHES[deployment][0][1], "limit": 3}
    coverages = []
    extra = 0
    for _ in range(10):
        answer = run.http.request("POST", url, json=body).json()
        coverages.append(answer.get("coverage_ratio"))
        extra += answer.get("extra_call_count", 0)
    _print(f"  coverages {coverages}, extra calls {extra}")


def _show_operations(run: fleet.Fleet) -> None:
    _print("\nhyssoptack config status")
    _print(run.run_cli("config", "status").stdout.rstrip())
    _print("\nhyssoptack report burn")
    _print(run.run_cli("report", "burn").stdout.rstrip())
    operator = run.instances[0]["operator_address"]
    page = run.http.request("GET", f"http://{operator}/metrics")
    lines = page.data.decode().count("\n")
    _print(f"\nmetrics page: http://{operator}/metrics ({lines} lines)")


application = cyclopts.App(name="demo")


@application.default
def main(deployment: str = "dakar", *, hold_s: float = 0.0) -> None:
    """Runs the demo and stops all processes that it started.

    Args:
        deployment: Name of the deployment: dakar or wales.
        hold_s: Time to keep the deployment running at the end.
    """
    if deployment not in SEARCHES:
        print(f"no deployment {deployment!r}: dakar or wales", file=sys.stderr)
        sys.exit(2)
    options = fleet.Options(deployment=deployment)
    run = fleet.Fleet(options, pathlib.Path(RUN_FOLDER) / deployment)
    started_s = time.monotonic()
    with run:
        count = len(run.processes)
        seconds = time.monotonic() - started_s
        _print(f"{deployment}: {count} processes ready in {seconds:.1f} s")
        _show_searches(run, deployment)
        _show_action(run, deployment)
        _show_fault(run, deployment)
        _show_operations(run)
        if hold_s:
            _print(f"\nfront: http://{run.balancer_address}, for {hold_s} s")
            time.sleep(hold_s)
        statuses = {
            each["instance_id"]: run.terminate(each["instance_id"])
            for each in run.instances
        }
    all_succeeded = all(status == 0 for status in statuses.values())
    _print(f"\nplanned stop of every instance: exit statuses {statuses}")
    _print("every process that the demo started has ended")
    sys.exit(0 if all_succeeded else 1)


if __name__ == "__main__":
    application()
