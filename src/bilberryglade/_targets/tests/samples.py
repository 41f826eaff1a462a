"""Targets for tests."""

import typing

from bilberryglade._targets import directory


def target(**changes: typing.Any) -> directory.Target:
    """Returns a warm, ready target with the fields given changed."""
    ready = directory.Target(
        name='t',
        born=10,
        service='s',
        address='127.0.0.1:1',
        failure_domain='a',
        places=2,
        is_draining=False,
        cold_until=0,
        sequence=5,
        offset=100,
    )
    return ready._replace(**changes)
