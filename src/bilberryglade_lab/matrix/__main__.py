"""Command `python -m bilberryglade_lab.matrix`: runs the fault matrix."""

import sys
import typing

import cappa

from bilberryglade_lab.matrix import coverage, runner


@cappa.command(name='matrix')
def matrix(
    seed: typing.Annotated[
        int,
        cappa.Arg(long=True, help='seed from which the cases are drawn'),
    ] = 1,
    cases: typing.Annotated[
        int,
        cappa.Arg(long=True, help='cases of each row'),
    ] = 20,
    only: typing.Annotated[
        str,
        cappa.Arg(long=True, help='part of the names of the rows to run'),
    ] = '',
    pairs: typing.Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help='rows of faults together to draw, one case each; all if unset',
        ),
    ] = None,
) -> int:
    """Runs every row of the fault matrix and prints what is not proved."""
    coverage.load()
    covered = coverage.measure()
    report = runner.run(seed, cases, only, pairs)
    for failure in report.failures:
        sys.stdout.write(f'{failure.row} seed {failure.seed}\n')
        for violation in failure.violations:
            sys.stdout.write(f'  {violation.promise}: {violation.detail}\n')
    for pair in sorted(covered.pending | covered.missing):
        sys.stdout.write(f'not proved: {pair.step} x {pair.fault}\n')
    sys.stdout.write(
        f'{report.rows} rows, {report.pairs} of faults together, '
        f'{report.cases} cases, {len(report.failures)} failed; '
        f'{len(covered.proved & covered.due)} of {len(covered.due)} pairs '
        f'proved, {len(covered.excluded)} not applicable\n',
    )
    return 1 if report.failures or covered.missing else 0


if __name__ == '__main__':
    sys.exit(cappa.invoke(matrix))
