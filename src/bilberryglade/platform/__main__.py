"""Runs one entry instance on the platform."""

import asyncio
import os
import pathlib
import sys

import result

from bilberryglade._instance import entry
from bilberryglade._observability import decisions
from bilberryglade.platform import node_file

USAGE_STATUS = 2


def main() -> int:
    """Reads the settings file and runs until a planned stop."""
    named = os.environ.get(node_file.PATH_VARIABLE, node_file.DEFAULT_PATH)
    try:
        raw = pathlib.Path(named).read_bytes()
    except OSError as failure:
        sys.stderr.write(f'{named}: {failure.strerror}\n')
        return USAGE_STATUS
    place = node_file.read(raw)
    if isinstance(place, result.Err):
        sys.stderr.write(f'{named}: {place.err_value}\n')
        return USAGE_STATUS
    decisions.configure(place.ok_value.instance)
    asyncio.run(entry.run(place.ok_value))
    return 0


if __name__ == '__main__':
    sys.exit(main())
