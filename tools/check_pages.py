"""Checks that the files and tests that pages name are in the tree.

`python tools/check_pages.py` prints each name that is not, with its page, and exits
with 1 if there is one. Pages on incidents are history and are left out.
"""

import pathlib
import re
import sys
from collections import abc

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = ('*.md', 'docs/**/*.md')
HISTORY = 'incidents'
SOURCES = ('src', 'tools', 'schema', 'deploy', 'examples')
#: Files in the code font, with or without their folders.
FILE_NAME = re.compile(r'`([A-Za-z0-9_./-]+\.(?:py|yaml|toml|rules))`')
TEST_NAME = re.compile(r'\btest_[a-z0-9_]+')


def pages() -> abc.Iterator[pathlib.Path]:
    """Returns the pages whose names have to be there."""
    for pattern in PAGES:
        for page in sorted(ROOT.glob(pattern)):
            if HISTORY not in page.parts:
                yield page


def missing(page: pathlib.Path, files: set[str], tests: set[str]) -> list[str]:
    """Returns the names on a page that the tree lacks.

    `files` are paths from the root, `tests` the names of tests and their modules.
    """
    text = page.read_text()
    named_files = sorted(set(FILE_NAME.findall(text)))
    named_tests = sorted(set(TEST_NAME.findall(text)))
    return [
        *(name for name in named_files if not _is_there(name, files)),
        *(name for name in named_tests if name not in tests),
    ]


def _is_there(name: str, files: set[str]) -> bool:
    return any(path == name or path.endswith(f'/{name}') for path in files)


def main() -> int:
    """Prints what is missing; returns the exit status."""
    paths = [
        path
        for folder in SOURCES
        for path in (ROOT / folder).rglob('*')
        if path.is_file()
    ]
    files = {path.relative_to(ROOT).as_posix() for path in paths}
    tests = {path.stem for path in paths}
    for path in paths:
        if path.suffix == '.py':
            tests.update(TEST_NAME.findall(path.read_text()))
    found = [
        f'{page.relative_to(ROOT)}: {name} is not in the tree'
        for page in pages()
        for name in missing(page, files, tests)
    ]
    sys.stdout.writelines(f'{line}\n' for line in found)
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(main())
