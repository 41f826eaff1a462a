"""The moves of the cluster model: each is one event that may happen next."""

from bilberryglade._membership import endings
from bilberryglade._membership.tests import clusters
from bilberryglade._ownership import activation
from bilberryglade._ownership.tests import cluster_model


@cluster_model.moves.register('append')
def append(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Appends the next record of the script; no instance has read it yet."""
    if index or not model.script:
        return None
    view = model.views[-1]
    record = cluster_model.next_record(view, model.script[0])
    views = (*model.views, clusters.folded([record], view))
    return model._replace(views=views, script=model.script[1:])


@cluster_model.moves.register('tick')
def tick(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Advances time by a tick; targets stop requests that have run out.

    These are requests whose lease or deadline is over.
    """
    if index:
        return None
    now = model.now + 1
    requests = frozenset(
        request for request in model.requests if request.until > now
    )
    return model._replace(now=now, requests=requests)


@cluster_model.moves.register('read')
def read(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Lets an instance read the log to its end."""
    instance = model.instances[index]
    if instance.delayed_fence:
        return None
    newest_index = len(model.views) - 1
    known_endings = instance.endings
    if newest_index != instance.view_index:
        changed_at = model.views[-1].ownership_changed_at
        known_endings = endings.note_change(known_endings, changed_at)
    instance = instance._replace(
        view_index=newest_index, fresh_at=model.now, endings=known_endings
    )
    return cluster_model.with_updated_holdings(
        cluster_model.with_instance(model, index, instance), index
    )


@cluster_model.moves.register('ask')
def ask(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Lets the other instance answer a heartbeat; the answer is in transit."""
    other_index = 1 - index
    if (
        model.instances[index].delayed_fence
        or model.instances[other_index].delayed_fence
    ):
        return None
    view = model.views[model.instances[other_index].view_index]
    sign = clusters.sign_of(
        view, cluster_model.INSTANCE_NAMES[other_index], model.now
    )
    heartbeat_answers = list(model.heartbeat_answers)
    heartbeat_answers[index] = sign
    return model._replace(heartbeat_answers=tuple(heartbeat_answers))


@cluster_model.moves.register('handle')
def handle_answer(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Delivers the answer to a heartbeat that is in transit."""
    sign = model.heartbeat_answers[index]
    if sign is None or model.instances[index].delayed_fence:
        return None
    heartbeat_answers = list(model.heartbeat_answers)
    heartbeat_answers[index] = None
    instance = model.instances[index]._replace(sign=sign)
    model = cluster_model.with_instance(model, index, instance)
    model = model._replace(heartbeat_answers=tuple(heartbeat_answers))
    return cluster_model.with_updated_holdings(model, index)


@cluster_model.moves.register('vote')
def vote(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Lets the other instance answer a heartbeat, and delivers it at once."""
    after_ask = ask(model, index)
    return after_ask and handle_answer(after_ask, index)


@cluster_model.moves.register('serve')
def serve(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Lets an instance send a grant and a request, if it may serve the slot."""
    if model.instances[index].delayed_fence:
        return None
    model = cluster_model.with_updated_holdings(model, index)
    fence = cluster_model.fence_to_serve(model, index)
    return _with_request_sent(model, index, fence) if fence else None


@cluster_model.moves.register('pause')
def pause(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Pauses an instance between its check of a request and the send."""
    if model.instances[index].delayed_fence:
        return None
    model = cluster_model.with_updated_holdings(model, index)
    fence = cluster_model.fence_to_serve(model, index)
    if not fence:
        return None
    instance = model.instances[index]._replace(delayed_fence=fence)
    return cluster_model.with_instance(model, index, instance)


@cluster_model.moves.register('resume')
def resume(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Resumes an instance, which sends the request checked before the pause."""
    instance = model.instances[index]
    if not instance.delayed_fence:
        return None
    fence = instance.delayed_fence
    instance = instance._replace(delayed_fence=0)
    return _with_request_sent(
        cluster_model.with_instance(model, index, instance), index, fence
    )


@cluster_model.moves.register('renew')
def renew(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Extends the lease of requests in flight in a slot that is leaving."""
    instance = model.instances[index]
    leaving = instance.holdings.leaving.get(cluster_model.SLOT)
    if (
        leaving is None
        or instance.delayed_fence
        or model.now >= leaving.drain_until
    ):
        return None
    lease = cluster_model.BOUNDS.lease
    grant = model.grants[index]
    if grant.fence > leaving.old_fence:
        return None
    requests = frozenset(
        request._replace(until=min(model.now + lease, request.deadline))
        if request.sender == index
        else request
        for request in model.requests
    )
    model = cluster_model.with_grant(
        model, leaving.target, leaving.old_fence, lease
    )
    return model._replace(requests=requests)


@cluster_model.moves.register('finish')
def finish(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Ends the requests of an instance, which the target has answered."""
    requests = frozenset(
        request for request in model.requests if request.sender != index
    )
    if requests == model.requests:
        return None
    return model._replace(requests=requests)


@cluster_model.moves.register('release')
def release(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Delivers the releases of an instance to the other instance."""
    if model.instances[index].delayed_fence:
        return None
    model = cluster_model.with_updated_holdings(model, index)
    other_index = 1 - index
    instance = model.instances[other_index]
    merged = instance.releases
    for subject, offset in model.instances[index].releases.items():
        merged = merged.set(subject, offset)
    if merged == instance.releases:
        return None
    return cluster_model.with_instance(
        model, other_index, instance._replace(releases=merged)
    )


@cluster_model.moves.register('fence')
def fence_off(
    model: cluster_model.ClusterModel, index: int
) -> cluster_model.ClusterModel | None:
    """Sends the newer fences of blocked slots to their earlier owners."""
    instance = model.instances[index]
    blocked = instance.holdings.blocked
    if instance.delayed_fence or not blocked:
        return None
    fenced_off = instance.fenced_off
    for target, slot_fences in blocked.items():
        for slot_fence in slot_fences:
            fenced_off |= {activation.slot_subject(*slot_fence)}
            if model.protections.fences_off_earlier_owner:
                model = cluster_model.with_grant(
                    model, target, slot_fence.fence, 0
                )
    if fenced_off == instance.fenced_off:
        return None
    instance = instance._replace(fenced_off=fenced_off)
    return cluster_model.with_updated_holdings(
        cluster_model.with_instance(model, index, instance), index
    )


def _with_request_sent(
    model: cluster_model.ClusterModel, index: int, fence: int
) -> cluster_model.ClusterModel:
    """Returns the model after a grant and a request have arrived."""
    lease = cluster_model.BOUNDS.lease
    model = cluster_model.with_grant(
        model, cluster_model.TARGETS[index], fence, lease
    )
    return cluster_model.with_request(model, index, fence)
