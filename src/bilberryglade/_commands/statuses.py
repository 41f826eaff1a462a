"""Exit statuses of the command line."""

import enum


class ExitStatus(enum.IntEnum):
    """What a program may conclude from the exit of a command."""

    done = 0
    #: The change was rejected, or a check found something wrong.
    problem = 1
    #: The command itself was wrong: options, files, credentials.
    usage = 2
    #: No instance answered; nothing was changed.
    unreachable = 3
    #: The change may still take effect.
    unclear = 4
