"""Tests of the callers of a fleet."""

import types

from bench.proofs import callers
from hyssoptack.standins import ports


def test_a_load_that_is_not_stopped_ends_with_its_fleet():
    # A proof that failed while its load ran never ended: the process waited for
    # the threads of the load.
    run = types.SimpleNamespace(
        balancer_address=f"127.0.0.1:{ports.free_port()}", on_stop=[]
    )
    load = callers.LoadGenerator(run, "s", ("text",), 2, pause_s=0.01)
    for function in run.on_stop:
        function()
    for each in load._futures:
        each.result(timeout=5.0)
