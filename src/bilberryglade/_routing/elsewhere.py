"""Another target for a request that is not bound to one."""

from collections import abc

from bilberryglade._routing import slots
from bilberryglade._state import state
from bilberryglade._values import requests


def home_slot(request: requests.RoutedRequest) -> int:
    """Returns the slot at which every copy of a request meets.

    A request that its caller has named keeps one home, though its service is
    not divided by key.
    """
    if request.key or not request.idempotency_digest:
        return request.slot
    return slots.slot_of(request.idempotency_digest)


def slot_elsewhere(
    view: state.ClusterState,
    request: requests.RoutedRequest,
    tried: abc.Container[str],
) -> int:
    """Returns the slot of a target not in `tried`, else the request's own.

    Requests with a key, and those that their caller has named, stay.
    """
    if requests.is_bound(request):
        return request.slot
    service = view.services.get(request.service, state.ServiceSlots())
    others = {
        owner.target: slot
        for slot, owner in service.owners.items()
        if owner.target not in tried
    }
    chosen = slots.best(request.request_id, others)
    return others.get(chosen, request.slot)
