"""Structured lines on standard output that never block the loop.

A reader that is slow costs lines, not time: what does not fit into the pipe
is counted and left out, and so is what goes beyond the lines of a second. The
number of lines left out is told with the next line that goes out.
"""

import os
import sys
import time
import typing

import loguru

from bilberryglade._codec import codec

#: Lines a second that one process writes at most.
LINES_PER_SECOND: typing.Final = 150
STANDARD_OUTPUT: typing.Final = 1

Write: typing.TypeAlias = typing.Callable[[bytes], int]


class LineSink:
    """Writes lines within a budget."""

    def __init__(self, write: Write) -> None:
        """`write` takes bytes at once, or raises `BlockingIOError`."""
        self.write = write
        self.left = float(LINES_PER_SECOND)
        self.filled_at = time.monotonic()
        #: Lines left out since the last one that was written.
        self.omitted = 0
        #: The rest of a line of which the pipe took only a part.
        self.rest = b''

    def take(self, text: str) -> None:
        """Writes a line, or counts it as left out."""
        now = time.monotonic()
        room = self.left + (now - self.filled_at) * LINES_PER_SECOND
        self.left = min(room, LINES_PER_SECOND)
        self.filled_at = now
        if self.left < 1:
            self.omitted += 1
            return
        self.left -= 1
        line = text
        if self.omitted:
            line = f'{text[:-2]},"lines_left_out":{self.omitted}}}\n'
        if self._put(line.encode()):
            self.omitted = 0
        else:
            self.omitted += 1

    def _put(self, line: bytes) -> bool:
        try:
            if self.rest:
                self.rest = self.rest[self.write(self.rest) :]
            if self.rest:
                return False
            self.rest = line[self.write(line) :]
        except BlockingIOError:
            return False
        except OSError:
            # Nobody reads any more; requests go on.
            self.rest = b''
            return False
        return True


def configure(instance: str) -> LineSink:
    """Sends all lines of this process to standard output as JSON."""
    os.set_blocking(sys.stdout.fileno(), False)
    sink = LineSink(lambda line: os.write(STANDARD_OUTPUT, line))

    def take(message: typing.Any) -> None:  # noqa: WPS430
        """Writes one line of the library."""
        sink.take(_line(message.record, instance))

    loguru.logger.remove()
    loguru.logger.add(take, level='INFO', format='{message}', catch=True)
    return sink


def _line(record: typing.Any, instance: str) -> str:
    fields = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'instance': instance,
        'event': record['message'],
        **record['extra'],
    }
    return f'{codec.encode_json(fields).decode()}\n'
