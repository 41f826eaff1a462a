"""Command line of the stand-ins: `log`, `list` and `targets`."""

import asyncio
import sys
import typing

import cappa
import msgspec

from bilberryglade_stand_ins import (
    list_service,
    log_service,
    serving,
    target_model,
    target_service,
)

Port: typing.TypeAlias = typing.Annotated[int, cappa.Arg(long=True)]


async def log(port: Port) -> None:
    """Serves the append-only log."""
    application = log_service.application(log_service.LogService())
    await serving.serve_until_ended([serving.server_for(application, port)])


async def members(port: Port) -> None:
    """Serves the lagging list of members."""
    application = list_service.application(list_service.ListService())
    await serving.serve_until_ended([serving.server_for(application, port)])


async def targets(
    shapes: typing.Annotated[
        str,
        cappa.Arg(long=True, help='JSON file with a list of target shapes'),
    ],
) -> None:
    """Serves many targets, each on its own port."""
    with open(shapes, 'rb') as source:
        rows = msgspec.json.decode(
            source.read(),
            type=list[dict[str, typing.Any]],
        )
    servers = [
        serving.server_for(
            _target(target_model.TargetShape(**row)), row['port']
        )
        for row in rows
    ]
    await serving.serve_until_ended(servers)


def _target(shape: target_model.TargetShape) -> typing.Any:
    model = target_model.TargetModel(shape)
    return target_service.application(target_service.TargetService(model))


@cappa.command(name='stand-ins')
class StandIns:
    """Small processes in the place of the platform and the targets."""

    command: cappa.Subcommands[typing.Any]


def main() -> None:
    """Runs the stand-in that the arguments name."""
    options = {
        function.__name__: cappa.Command.get(function)
        for function in (log, members, targets)
    }
    subcommand = cappa.Subcommand(field_name='command', options=options)
    command = cappa.Command(StandIns, arguments=[subcommand])
    asyncio.run(cappa.invoke_async(cappa.collect(command), argv=sys.argv[1:]))


if __name__ == '__main__':
    main()
