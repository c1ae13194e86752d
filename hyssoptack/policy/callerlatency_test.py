"""What callers have spent, and how far away they are, shows in their waits."""

from hyssoptack.policy import callerlatency


def test_a_new_connection_shows_the_way_and_what_was_spent():
    # 3 ms each way: answers given 8 ms before the goal to callers with a new
    # connection came 1 to 5 ms after it.
    known = callerlatency.CallerLatency()
    assert (
        known.observe_elapsed_ms("r", 2_000.0, first_on_connection=False) == 0.0
    )
    for _ in range(5):
        assert (
            known.observe_elapsed_ms("r", 1_993.0, first_on_connection=True)
            == 7.0
        )
    assert known.margin_ms == 7.0 + callerlatency.TIMER_MARGIN_MS


def test_an_earlier_try_is_spent_and_says_nothing_of_the_way():
    known = callerlatency.CallerLatency()
    known.observe_elapsed_ms("r", 2_000.0, first_on_connection=False)
    assert (
        known.observe_elapsed_ms("r", 1_300.0, first_on_connection=True)
        == 700.0
    )
    assert known.round_trip_ms == callerlatency.DEFAULT_ROUND_TRIP_MS


def test_routes_have_waits_of_their_own():
    known = callerlatency.CallerLatency()
    known.observe_elapsed_ms("long", 8_000.0, first_on_connection=False)
    assert (
        known.observe_elapsed_ms("short", 1_000.0, first_on_connection=True)
        == 0.0
    )


def test_a_longest_wait_that_callers_ask_for_no_more_is_forgotten():
    known = callerlatency.CallerLatency()
    known.observe_elapsed_ms("r", 3_000.0, first_on_connection=False)
    for _ in range(callerlatency.WAIT_SAMPLES_COUNT + 1):
        spent_ms = known.observe_elapsed_ms(
            "r", 2_000.0, first_on_connection=False
        )
    assert spent_ms == 0.0


def test_a_silent_caller_has_spent_nothing():
    known = callerlatency.CallerLatency()
    assert known.observe_elapsed_ms("r", None, first_on_connection=True) == 0.0


def test_an_instance_that_answers_late_by_itself_begins_sooner():
    # 55 of 75 answers of starved instances missed their goal, by 6 ms in the
    # middle.
    times = callerlatency.CallerLatency()
    before_ms = times.margin_ms
    for number in range(40):
        times.answer_delay.record(5.0 + number % 10)
    assert times.margin_ms == before_ms - callerlatency.TIMER_MARGIN_MS + 13.0
    for _ in range(40):
        times.answer_delay.record(0.5)
    assert times.margin_ms == before_ms
