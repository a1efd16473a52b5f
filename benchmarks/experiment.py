"""Plays variants of the code against the base and prints what each is worth.

Each variant is played on the same sites, days and seeds as the base, several plays at
a time, and compared with it pair by pair:

    python -m benchmarks.experiment --bench PATH --sites A.toml --days quiet-1 scale-1
        --seeds 1 2 3
        --variants "no fetch=decisions.prefix_affinity.MIN_FETCH_TOKENS=10**9"

Without `--bench` the loads are those of our own emulator, with a domain of engines for
a site and a pattern for a day.
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

from benchmarks import comparison, plays, variants

__all__ = ["ROOT", "app", "play_all", "run"]

ROOT = pathlib.Path(__file__).parent.parent
_BASE = "base"
# Half of the processors: the rest is left for whoever works here.
_AT_ONCE = max(1, (os.cpu_count() or 2) // 2)
_LOSSES_SHOWN = 8

Results = dict[plays.Play, plays.Result]
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
    jobs: int = _AT_ONCE,
    plot: pathlib.Path | None = None,
    losses: bool = False,
) -> int:
    """Play all variants and print the tables; non-zero if a rule was broken.

    Args:
        sites: Files of deployments; domains of engines for the emulator.
        days: Names of days there; patterns for the emulator.
        seeds: Other luck on the same days; the days' own if none is given.
        variants_: Variants as `name=module.CONSTANT=value`, or `name=@TREE`.
        bench: The users' bench; our own emulator if it is left out.
        why: A line for the bench's journal.
        jobs: Plays at a time.
        plot: Where to draw worth by second, for each variant.
        losses: Also print what was lost, by cause.
    """
    named = [variants.Variant(_BASE), *map(variants.parse, variants_ or [])]
    asked = [
        plays.Play(str(_absolute(site, bench)), day, seed)
        for site, day, seed in itertools.product(sites, days, seeds or (None,))
    ]
    found = play_all(named, asked, bench, why, jobs)
    rows = [
        comparison.compare(variant.name, site, found[variant.name], found[_BASE])
        for site in dict.fromkeys(play.site for play in asked)
        for variant in named
    ]
    console = rich.console.Console(width=150)
    console.print(_table(rows))
    if losses:
        console.print(_losses_table(rows))
    if plot is not None:
        _draw(found, plot)
    return 1 if any(row.broken for row in rows) else 0


def _absolute(site: str, bench: pathlib.Path | None) -> str | pathlib.Path:
    return site if bench is None else pathlib.Path(site).resolve()


def play_all(
    named: abc.Sequence[variants.Variant],
    asked: abc.Sequence[plays.Play],
    bench: pathlib.Path | None,
    why: str,
    jobs: int,
) -> dict[str, Results]:
    """Return the results of each variant; see `run` for the arguments."""
    found: dict[str, Results] = {variant.name: {} for variant in named}
    # The bench needs each tree beside the checkout: a folder for temporary files is
    # private to each of the processes that it starts.
    place = ROOT.parent / f"experiment-{os.getpid()}"
    place.mkdir()
    try:
        trees = {}
        for number, variant in enumerate(named):
            trees[variant.name] = place / str(number)
            built = bench is not None
            variants.copy_tree(ROOT, variant, trees[variant.name], built=built)
        _warm_up(bench, trees.values(), jobs)
        with (
            concurrent.futures.ThreadPoolExecutor(jobs) as pool,
            rich.progress.Progress(
                console=rich.console.Console(stderr=True)
            ) as progress,
        ):
            task = progress.add_task("plays", total=len(named) * len(asked))
            waiting = {
                pool.submit(
                    _play, bench, trees[variant.name], play, f"{why}: {variant.name}"
                ): (variant.name, play)
                for play in asked
                for variant in named
            }
            for done in concurrent.futures.as_completed(waiting):
                name, play = waiting[done]
                found[name][play] = done.result()
                progress.advance(task)
        _keep_journals(trees.values())
    finally:
        shutil.rmtree(place)
    return found


def _warm_up(
    bench: pathlib.Path | None, trees: abc.Iterable[pathlib.Path], jobs: int
) -> None:
    """Build each tree once, so that plays of it don't build it at the same time."""
    if bench is None:
        return
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        list(pool.map(functools.partial(plays.build, bench), trees))


def _play(
    bench: pathlib.Path | None, tree: pathlib.Path, play: plays.Play, why: str
) -> plays.Result:
    if bench is None:
        return plays.play_emulator(tree, play, sys.executable)
    return plays.play_bench(bench.resolve(), tree, play, why)


def _keep_journals(trees: abc.Iterable[pathlib.Path]) -> None:
    """Keep the bench's entries of all plays with those of the checkout."""
    kept = ROOT / "journal"
    for entry in itertools.chain.from_iterable(
        tree.glob("journal/*.json") for tree in trees
    ):
        kept.mkdir(exist_ok=True)
        shutil.copy2(entry, kept / entry.name)


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
            str(row.plays),
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


def _draw(found: abc.Mapping[str, Results], path: pathlib.Path) -> None:
    figure = matplotlib.figure.Figure(figsize=(9, 3.5), layout="constrained")
    axes: typing.Any = figure.subplots()
    for name, results in found.items():
        sums: dict[float, list[float]] = {}
        for result in results.values():
            for second, worth in result.by_second.items():
                sums.setdefault(second, []).append(worth)
        means = sorted((second, sum(w) / len(w)) for second, w in sums.items())
        axes.plot(*zip(*means, strict=True), label=name)
    axes.set_xlabel("seconds from the start of the load")
    axes.set_ylabel("share earned")
    axes.legend()
    figure.savefig(path, dpi=80)


if __name__ == "__main__":
    sys.exit(app())
