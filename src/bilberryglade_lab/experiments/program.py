"""Program `experiment`."""

import pathlib
import typing

import cappa
import result
from rich import console as consoles

from bilberryglade._codec import codec
from bilberryglade_lab import programs
from bilberryglade_lab.experiments import runner

TABLE_COLUMNS: typing.Final = 160


@programs.programs.register('experiment')
def run(
    path: typing.Annotated[pathlib.Path, cappa.Arg(help='experiment in YAML')],
    json: typing.Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help='file for the figures as JSON'),
    ] = None,
) -> None:
    """Runs an experiment on the virtual clock and prints its table."""
    checked = runner.read_experiment(path)
    if isinstance(checked, result.Err):
        error = checked.err_value
        raise cappa.Exit(f'{path}: {error.path}: {error.problem}', code=2)
    experiment = checked.ok_value
    figures = runner.run_all(experiment)
    if json is not None:
        json.write_bytes(codec.encode_json(figures))
    console = consoles.Console(width=TABLE_COLUMNS)
    console.print(runner.table_of(experiment, figures))
