"""Runs variants of the code against the base and prints how each scores.

Each variant runs on the same sites, days and seeds as the base, several trials at a
time, and is compared with the base trial by trial:

    python -m benchmarks.experiment --bench PATH --sites A.toml --days quiet-1 scale-1
        --seeds 1 2 3
        --variants "no fetch=decisions.prefix_affinity.MIN_FETCH_TOKENS=10**9"

Without `--bench` the trials run on the emulator of this package: a site is then a
failure domain of engines and a day is a load pattern.
"""

import concurrent.futures
import functools
import itertools
import os
import pathlib
import shutil
import sys
import typing
from collections import abc

import cyclopts
import matplotlib.figure
import rich.console
import rich.progress
import rich.table

from benchmarks import comparison, trials, variants

__all__ = ["ROOT", "app", "run", "run_trials"]

ROOT = pathlib.Path(__file__).parent.parent
_BASE = "base"
# Half of the processors, so that the machine stays usable during an experiment.
_DEFAULT_JOBS = max(1, (os.cpu_count() or 2) // 2)
_LOSSES_SHOWN = 8

Results = dict[trials.Trial, trials.Result]
app = cyclopts.App(
    help=__doc__, default_parameter=cyclopts.Parameter(consume_multiple=True)
)


@app.default
def run(
    *,
    sites: list[str],
    days: list[str],
    seeds: list[int] | None = None,
    variants_: typing.Annotated[
        list[str] | None, cyclopts.Parameter(name="--variants")
    ] = None,
    bench: pathlib.Path | None = None,
    why: str = "experiment",
    jobs: int = _DEFAULT_JOBS,
    plot: pathlib.Path | None = None,
    losses: bool = False,
) -> int:
    """Run all variants and print the tables; non-zero if a rule was broken.

    Args:
        sites: Deployment files; failure domains of engines for the emulator.
        days: Names of days of the deployments; load patterns for the emulator.
        seeds: Seeds for the random events of each day; default: the seed of the day.
        variants_: Variants as `name=module.CONSTANT=value`, or `name=@TREE`.
        bench: Path of the users' bench; default: the emulator of this package.
        why: Reason for the run, written to the bench's journal.
        jobs: Number of concurrent trials.
        plot: File for a plot of worth by second, one line per variant.
        losses: Also print lost worth by cause.
    """
    chosen_variants = [variants.Variant(_BASE), *map(variants.parse, variants_ or [])]
    requested_trials = [
        trials.Trial(str(_absolute(site, bench)), day, seed)
        for site, day, seed in itertools.product(sites, days, seeds or (None,))
    ]
    results_by_variant = run_trials(chosen_variants, requested_trials, bench, why, jobs)
    rows = [
        comparison.compare(
            variant.name,
            site,
            results_by_variant[variant.name],
            results_by_variant[_BASE],
        )
        for site in dict.fromkeys(trial.site for trial in requested_trials)
        for variant in chosen_variants
    ]
    console = rich.console.Console(width=150)
    console.print(_table(rows))
    if losses:
        console.print(_losses_table(rows))
    if plot is not None:
        _draw(results_by_variant, plot)
    return 1 if any(row.broken for row in rows) else 0


def _absolute(site: str, bench: pathlib.Path | None) -> str | pathlib.Path:
    return site if bench is None else pathlib.Path(site).resolve()


def run_trials(
    chosen_variants: abc.Sequence[variants.Variant],
    requested_trials: abc.Sequence[trials.Trial],
    bench: pathlib.Path | None,
    why: str,
    jobs: int,
) -> dict[str, Results]:
    """Return the results of each variant; see `run` for the arguments."""
    results_by_variant: dict[str, Results] = {
        variant.name: {} for variant in chosen_variants
    }
    # The trees are copied next to the checkout: the processes that the bench starts
    # each have a private temporary folder and would not see a tree there.
    folder = ROOT.parent / f"experiment-{os.getpid()}"
    folder.mkdir()
    try:
        trees = {}
        for number, variant in enumerate(chosen_variants):
            trees[variant.name] = folder / str(number)
            built = bench is not None
            variants.copy_tree(ROOT, variant, trees[variant.name], built=built)
        _warm_up(bench, trees.values(), jobs)
        with (
            concurrent.futures.ThreadPoolExecutor(jobs) as pool,
            rich.progress.Progress(
                console=rich.console.Console(stderr=True)
            ) as progress,
        ):
            task = progress.add_task(
                "trials", total=len(chosen_variants) * len(requested_trials)
            )
            pending = {
                pool.submit(
                    _run_trial,
                    bench,
                    trees[variant.name],
                    trial,
                    f"{why}: {variant.name}",
                ): (variant.name, trial)
                for trial in requested_trials
                for variant in chosen_variants
            }
            for done in concurrent.futures.as_completed(pending):
                name, trial = pending[done]
                results_by_variant[name][trial] = done.result()
                progress.advance(task)
        _copy_journals(trees.values())
    finally:
        shutil.rmtree(folder)
    return results_by_variant


def _warm_up(
    bench: pathlib.Path | None, trees: abc.Iterable[pathlib.Path], jobs: int
) -> None:
    """Build each tree once, so that concurrent trials don't build it in parallel."""
    if bench is None:
        return
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        list(pool.map(functools.partial(trials.build, bench), trees))


def _run_trial(
    bench: pathlib.Path | None, tree: pathlib.Path, trial: trials.Trial, why: str
) -> trials.Result:
    if bench is None:
        return trials.run_on_emulator(tree, trial, sys.executable)
    return trials.run_on_bench(bench.resolve(), tree, trial, why)


def _copy_journals(trees: abc.Iterable[pathlib.Path]) -> None:
    """Copy the bench's journal entries of all trials to the checkout's journal."""
    journal = ROOT / "journal"
    for entry in itertools.chain.from_iterable(
        tree.glob("journal/*.json") for tree in trees
    ):
        journal.mkdir(exist_ok=True)
        shutil.copy2(entry, journal / entry.name)


def _table(rows: abc.Iterable[comparison.Row]) -> rich.table.Table:
    table = rich.table.Table()
    for name in ("site", "variant"):
        table.add_column(name)
    for name in ("plays", "worth", "against base", "served", "orders", "broken"):
        table.add_column(name, justify="right")
    table.add_column("worst day")
    table.add_column("worst kind")
    for row in rows:
        table.add_row(
            pathlib.Path(row.site).stem,
            row.variant,
            str(row.trials),
            f"{row.worth:.3f}",
            str(row.against_base),
            f"{row.served:.3f}",
            f"{row.orders:.1f}",
            str(row.broken),
            "{} {:.3f}".format(*row.worst_day),
            "{} {:.3f}".format(*row.worst_kind),
        )
    return table


def _losses_table(rows: abc.Iterable[comparison.Row]) -> rich.table.Table:
    table = rich.table.Table(title="worth lost, by cause")
    for name in ("site", "variant", "cause"):
        table.add_column(name)
    table.add_column("worth", justify="right")
    for row in rows:
        for cause, worth in row.losses[:_LOSSES_SHOWN]:
            site = pathlib.Path(row.site).stem
            table.add_row(site, row.variant, cause, f"{worth:.4f}")
    return table


def _draw(results_by_variant: abc.Mapping[str, Results], path: pathlib.Path) -> None:
    figure = matplotlib.figure.Figure(figsize=(9, 3.5), layout="constrained")
    axes: typing.Any = figure.subplots()
    for name, results in results_by_variant.items():
        sums: dict[float, list[float]] = {}
        for result in results.values():
            for second, worth in result.by_second.items():
                sums.setdefault(second, []).append(worth)
        means = sorted((second, sum(w) / len(w)) for second, w in sums.items())
        axes.plot(*zip(*means, strict=True), label=name)
    axes.set_xlabel("seconds from the start of the load")
    axes.set_ylabel("share of worth earned")
    axes.legend()
    figure.savefig(path, dpi=80)


if __name__ == "__main__":
    sys.exit(app())
