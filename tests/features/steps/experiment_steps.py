import math
import pathlib
import tempfile

import behave

from benchmarks import comparison, experiment, trials, variants

PLAYS = {day: trials.Trial("site", day, 1) for day in ("bad", "fair", "good")}
WORTH = {"bad": 0.2, "fair": 0.5, "good": 0.9}
WORSE = (
    "no delay=decisions.disaggregation._STREAM_DELAY=0.0;"
    "decisions.overload_model._OVERLOAD_LOSS_FACTOR=9.0"
)


@behave.then('the variant "{text}" is refused')
def refused(context, text):
    with tempfile.TemporaryDirectory() as folder:
        place = pathlib.Path(folder) / "copy"
        try:
            variants.copy_tree(experiment.ROOT, variants.parse(text), place)
        except ValueError as error:
            assert "module.CONSTANT=value" in str(error) or "0 times" in str(error)
        else:
            raise AssertionError("it was taken")


def results(more):
    return {
        trial: trials.Result(WORTH[day] + more, 0.9, 1, kinds={"a": 0.5, "b": 0.4})
        for day, trial in PLAYS.items()
    }


@behave.given(
    "a variant that earns 0.01 more than the base on days of 0.2, 0.5 and 0.9"
)
def earns_more(context):
    context.row = comparison.compare("new", "site", results(0.01), results(0.0))


@behave.then("its difference is 0.010 with an error of 0.000")
def difference(context):
    found = context.row.against_base
    assert math.isclose(found.mean, 0.01, abs_tol=1e-9), found
    assert math.isclose(found.error, 0.0, abs_tol=1e-9), found
    assert context.row.worst_kind[0] == "b", context.row.worst_kind


@behave.then("its worst day is the one of 0.2")
def worst_day(context):
    assert context.row.worst_day[0] == "bad"


@behave.then(
    "a report of a day is read with its worth, orders, losses and broken rules"
)
def report_read(context):
    report = {
        "G": 0.51,
        "unserved": 0.06,
        "hints": ["5 prompt tokens read; 3 orders, 0 of them refused"],
        "breaks": {"ONE": 1},
        "fault": None,
        "prices": [["orders", 3.0, 0.002]],
        "parts": [["whole day", 0.5, 0.8]],
        "classes": [{"name": "a", "worth": 0.7}],
        "windows": [{"name": "2", "worth": 0.6}],
    }
    found = trials.read_report(report)
    assert found.worth == 0.51 and found.orders == 3 and found.broken == ("ONE",)
    assert found.losses["orders"] == 0.002
    assert math.isclose(found.losses["not earned: whole day"], 0.1)
    assert found.by_second == {2.0: 0.6}


@behave.when('an experiment plays "{pattern}" on three engines with a worse variant')
def small_experiment(context, pattern):
    context.trial = trials.Trial("sapporo-north", pattern, 0)
    named = [variants.Variant("base"), variants.parse(WORSE)]
    context.found = experiment.run_trials(named, [context.trial], None, "test", 2)
    context.again = experiment.run_trials(named[:1], [context.trial], None, "test", 1)


@behave.then("the base comes out as it did before")
def same_again(context):
    assert context.found["base"] == context.again["base"]


@behave.then("the variant differs from it")
def variant_differs(context):
    base, other = (context.found[name][context.trial] for name in ("base", "no delay"))
    assert base.worth != other.worth, base
    row = comparison.compare(
        "no delay", "sapporo-north", context.found["no delay"], context.found["base"]
    )
    assert math.isclose(row.against_base.mean, other.worth - base.worth)
