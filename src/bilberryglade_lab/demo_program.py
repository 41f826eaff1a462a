"""Program `demo`."""

import typing

import cappa

from bilberryglade_lab import demo, programs, shapes


@programs.programs.register('demo')
async def run(
    size: typing.Annotated[
        str,
        cappa.Arg(help='small, hollingsworth or prairie'),
    ] = 'small',
    *,
    keep: typing.Annotated[
        bool,
        cappa.Arg(long=True, help='leave the deployment up'),
    ] = False,
) -> None:
    """Runs the demo and prints its table."""
    shape = shapes.SHAPES.get(size)
    if shape is None:
        raise cappa.Exit(f'unknown size {size!r}', code=2)
    await demo.run_demo(shape, keep=keep)
