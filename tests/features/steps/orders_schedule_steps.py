import concurrent.futures

import behave

from tests import faults

PROCESSES = 2


def module_of(promise):
    return f"tests.support.proofs.promise_{promise}"


def run_jobs(jobs):
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        return list(pool.map(faults.run_job, jobs))


@behave.when("schedules: promise {promise:d} is put to {seeds:d} history of each fault")
def each_fault(context, promise, seeds):
    lines = faults.run_matrix(
        [module_of(promise)], seeds, 0, faults.single_faults, processes=PROCESSES
    )
    line = lines[promise]
    assert line.histories and line.operations, line
    context.violations = line.violations


@behave.when(
    'schedules: promise {promise:d} is put to the seeds {seeds} under "{fault}"'
)
def kept_seeds(context, promise, seeds, fault):
    context.jobs = [
        faults.Job(module_of(promise), (fault,), int(seed), True)
        for seed in seeds.split(",")
    ]
    context.runs = run_jobs(context.jobs)
    context.violations = [text for run in context.runs for text in run.violations]


@behave.when("schedules: the same is done with the safeguard off")
def without_safeguard(context):
    jobs = [faults.Job(job.module, job.faults, job.seed, False) for job in context.jobs]
    context.violations = [text for run in run_jobs(jobs) for text in run.violations]


@behave.then("schedules: no history breaks the promise")
def none_breaks(context):
    assert not context.violations, context.violations[:3]


@behave.then("schedules: some history breaks the promise")
def some_breaks(context):
    assert context.violations, "the checker rejected nothing"


@behave.then("schedules: both runs are equal")
def runs_are_equal(context):
    first, second = context.runs
    assert first == second, (first, second)
