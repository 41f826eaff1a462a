"""Requests for tests."""

import typing

from bilberryglade._routing import admission
from bilberryglade._values import request_progress


def incoming(**changes: typing.Any) -> admission.Incoming:
    """Returns a caller's request with the fields given changed."""
    request = admission.Incoming(
        request_id='r-1',
        host='h',
        host_header='h',
        method='GET',
        path='/a/x',
        query='',
        headers=(),
        body=b'',
        api_key='key',
        routing_key=5,
        patience=1,
        arrived_at=0,
        progress=request_progress.Progress(),
    )
    return request._replace(**changes)
