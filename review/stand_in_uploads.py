"""Consumers that upload at once, in a process of their own.

Usage: python3 -m stand_in_uploads ADDRESS COUNT BYTES PREFIX
"""

import asyncio
import sys
import time


PACE_BYTES = 4_194_304
#: Seconds between two pieces: three uploads together stay below 1,000 Mbit/s.
PACE_SECONDS = 0.11
DEADLINE_SECONDS = 2.5


async def upload(address: str, size: int, request_id: str) -> str:
    """Uploads one body; returns how that ended."""
    began = time.monotonic()
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(DEADLINE_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                f'POST /claims/form HTTP/1.1\r\nHost: jepu9.example\r\n'
                f'X-Request-Id: {request_id}\r\n'
                f'X-Request-Deadline: {int(DEADLINE_SECONDS * 1000)}\r\n'
                f'X-Credential: xd9dnn2ctnfzs989anu6\r\n'
                f'Content-Length: {size}\r\n\r\n'.encode()
            )
            piece = bytes(PACE_BYTES)
            for sent in range(0, size, PACE_BYTES):
                writer.write(piece[: min(PACE_BYTES, size - sent)])
                await writer.drain()
                await asyncio.sleep(PACE_SECONDS)
            line = await reader.readline()
            ended = line.split(b' ')[1].decode() if line else 'closed'
    except (OSError, TimeoutError) as failure:
        ended = type(failure).__name__
    return f'{request_id} of {size} bytes: {ended} after {time.monotonic() - began:.2f} s'


async def main() -> None:
    """Uploads as the arguments say; prints a line for each upload."""
    address, count, size, prefix = sys.argv[1:]
    ends = await asyncio.gather(
        *(
            upload(address, int(size), f'{prefix}{number:04x}')
            for number in range(int(count))
        )
    )
    print('\n'.join(ends))


if __name__ == '__main__':
    asyncio.run(main())
