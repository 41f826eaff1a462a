"""Rollouts as messages between instances and as records of their store."""

from collections import abc

import result

from bilberryglade._codec import codec
from bilberryglade._rollouts import counting, gathering, phases, stepper
from bilberryglade_schema import fleet as messages

MS_PER_SECOND = 1000
MILLIONTHS = 1_000_000


def to_stage(rollout: stepper.Rollout, now: float) -> messages.RolloutStage:
    """Returns a rollout as it is told at `now`, in monotonic seconds."""
    return {
        'service': rollout.service,
        'order': rollout.order,
        'base': rollout.base,
        'to': rollout.version,
        'phase': rollout.phase.value,
        'share': round(rollout.share * MILLIONTHS),
        'elapsed_ms': int((now - rollout.began_at) * MS_PER_SECOND),
        'duration_ms': int(rollout.seconds * MS_PER_SECOND),
        'is_paused': rollout.is_paused,
    }


def from_stage(
    stage: messages.RolloutStage, now: float
) -> result.Result[stepper.Rollout, str]:
    """Returns the rollout that was told at `now`, or what is wrong."""
    phase = phases.Phase.__members__.get(stage['phase'])
    if phase is None:
        return result.Err(f'phase {stage["phase"]!r} is unknown')
    return result.Ok(
        stepper.Rollout(
            order=stage['order'],
            service=stage['service'],
            base=stage['base'],
            version=stage['to'],
            seconds=stage['duration_ms'] / MS_PER_SECOND,
            began_at=now - stage['elapsed_ms'] / MS_PER_SECOND,
            phase=phase,
            share=stage['share'] / MILLIONTHS,
            stepped_at=now,
            is_paused=stage.get('is_paused', False),
        )
    )


def to_record(
    rollout: stepper.Rollout,
    sent: abc.Mapping[str, gathering.Sent],
    now: float,
) -> bytes:
    """Returns a rollout as it is stored, with what each process has sent."""
    stage = to_stage(rollout, now)
    stage['sent'] = {
        process: (counts.all_versions, counts.new_version)
        for process, counts in sent.items()
    }
    return codec.encode_packed(stage)


def sent_in(stage: messages.RolloutStage) -> dict[str, gathering.Sent]:
    """Returns what each process had sent by a record."""
    return {
        process: gathering.Sent(*counts)
        for process, counts in stage.get('sent', {}).items()
    }


def to_cells(
    cells: abc.Mapping[counting.CellKey, counting.Cell],
) -> list[messages.RolloutCell]:
    """Returns counts as a message tells them."""
    return [
        {
            'target': key.target,
            'version': key.version,
            'route': key.route,
            'good': cell.good,
            'failed': cell.failed,
            'lost': cell.lost,
            'times': {str(number): count for number, count in cell.times},
        }
        for key, cell in cells.items()
    ]


def from_counts(
    message: messages.RolloutCounts, version: str, now: float
) -> gathering.Told:
    """Returns what an instance told at `now` of a rollout to `version`."""
    sent = message['sent']
    cells = {
        counting.CellKey(
            cell['target'], cell['version'], cell['route']
        ): counting.Cell(
            cell['good'],
            cell['failed'],
            cell['lost'],
            tuple(
                sorted(
                    (int(number), count)
                    for number, count in cell['times'].items()
                )
            ),
        )
        for cell in message['cells']
    }
    running_old = sum(
        count
        for running, count in message['running'].items()
        if running != version
    )
    return gathering.Told(
        instance=message['sender'],
        process=message['boot'],
        sent=gathering.Sent(sum(sent.values()), sent.get(version, 0)),
        standing=gathering.Standing(message['phase'], running_old, now),
        cells=cells,
    )
