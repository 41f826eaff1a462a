"""Command `explain` over files of lines."""

import pathlib
import tempfile
import unittest

from bilberryglade._commands.tests import captures
from bilberryglade._observability.tests import test_histories


class ExplainTest(unittest.IsolatedAsyncioTestCase):
    """What on-call reads, and how scripts learn that there was nothing."""

    def setUp(self) -> None:
        """Writes the lines of two instances to two files."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.paths = [
            pathlib.Path(folder.name) / name for name in ('one', 'two')
        ]
        text = test_histories.TEXT
        self.paths[0].write_text('\n'.join(text[:6]))
        self.paths[1].write_text('\n'.join(text[6:]))

    async def test_known_request(self) -> None:
        """Lines of all files are put in order."""
        files = [str(path) for path in self.paths]
        printed = await captures.run('explain', 'wanted', *files)
        self.assertEqual(printed.status, 0)
        lines = printed.out.splitlines()
        self.assertEqual(len(lines), 8)
        self.assertEqual(lines, sorted(lines))
        self.assertIn('[owner] keys 0-49 of s to t1', lines[1])
        self.assertIn('request=wanted', lines[5])

    async def test_unknown_request(self) -> None:
        """It is no success to find nothing."""
        printed = await captures.run('explain', 'nobody', str(self.paths[0]))
        self.assertEqual(printed.status, 1)
        self.assertIn('no line in 6 lines', printed.err)

    async def test_missing_file(self) -> None:
        """A file that cannot be read is named."""
        printed = await captures.run('explain', 'x', f'{self.paths[0]}.gone')
        self.assertEqual(printed.status, 2)
        self.assertIn('gone', printed.err)
