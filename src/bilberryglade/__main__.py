"""Runs the command line: `python -m bilberryglade`."""

from bilberryglade._commands import catalogue, commands

REGISTERED = (catalogue,)

if __name__ == '__main__':
    commands.main()
