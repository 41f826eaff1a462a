"""Lines that never block, and say how many were left out."""

import json
import unittest

from bilberryglade._observability import decisions

LINE = '{"event":"x"}\n'


class Pipe:
    """A pipe that takes so many bytes until it is read."""

    def __init__(self, room: int) -> None:
        """Starts empty."""
        self.room = room
        self.taken = b''

    def write(self, line: bytes) -> int:
        """Takes what fits, like a pipe that does not block."""
        if not self.room:
            raise BlockingIOError
        part = line[: self.room]
        self.room -= len(part)
        self.taken += part
        return len(part)


class LineSinkTests(unittest.TestCase):
    """Slow readers and many lines."""

    def test_slow_reader(self) -> None:
        """A full pipe costs lines; half a line is completed first."""
        pipe = Pipe(room=20)
        sink = decisions.LineSink(pipe.write)
        for _ in range(4):
            sink.take(LINE)
        pipe.room = 1000
        sink.take(LINE)
        lines = pipe.taken.decode().splitlines()
        events = [json.loads(line) for line in lines]
        self.assertEqual(events[-1]['lines_left_out'], 2)
        self.assertEqual(len(events), 3)

    def test_many_lines(self) -> None:
        """Lines beyond those of a second are counted, not written."""
        pipe = Pipe(room=10**6)
        sink = decisions.LineSink(pipe.write)
        for _ in range(decisions.LINES_PER_SECOND * 2):
            sink.take(LINE)
        written = pipe.taken.count(b'\n')
        self.assertLessEqual(written, decisions.LINES_PER_SECOND + 5)
        self.assertGreater(sink.omitted, decisions.LINES_PER_SECOND / 2)

    def test_reader_that_is_gone(self) -> None:
        """A closed pipe ends nothing."""

        def write(_: bytes) -> int:  # noqa: WPS430
            raise BrokenPipeError

        sink = decisions.LineSink(write)
        sink.take(LINE)
        self.assertEqual(sink.omitted, 1)
