"""Runs the command line: `python -m bilberryglade`."""

from bilberryglade._commands import commands, run

REGISTERED = (run,)

if __name__ == '__main__':
    commands.main()
