"""How far each rollout is: as decided, as the store holds it, and as told."""

from collections import abc

from bilberryglade._rollouts import (
    encoding,
    gathering,
    phases,
    records,
    stepper,
)
from bilberryglade.platform import rollouts


class Progress:
    """All rollouts of a coordinator's term, by service."""

    def __init__(self, written: records.Records) -> None:
        """Has none; `written` stores them."""
        self.records = written
        self.decided: dict[str, stepper.Rollout] = {}
        #: The newest step of each that the store holds.
        self.stored: dict[str, stepper.Rollout] = {}
        #: Steps that are being written, with their bytes.
        self.pending: dict[str, tuple[stepper.Rollout, bytes]] = {}

    def restart(self, read: abc.Mapping[str, stepper.Rollout]) -> None:
        """Continues from what the store holds."""
        self.decided = dict(read)
        self.stored = dict(read)
        self.pending.clear()

    def rewrite(
        self,
        sent: abc.Mapping[str, abc.Mapping[str, gathering.Sent]],
        now: float,
    ) -> None:
        """Has all records written again, to a store that has lost them.

        `sent` is what each process has sent, by service.
        """
        for service, rollout in self.decided.items():
            payload = encoding.to_record(rollout, sent.get(service, {}), now)
            self.pending[service] = (rollout, payload)
            self.records.put(
                records.Write(records.STATE_TOPIC, service, payload)
            )

    def put(
        self,
        rollout: stepper.Rollout,
        sent: abc.Mapping[str, gathering.Sent],
        now: float,
    ) -> None:
        """Takes in a rollout, and has it written if that is a step."""
        service = rollout.service
        before = self.decided.get(service)
        self.decided[service] = rollout
        self._note_written(service)
        if not is_step(self.stored.get(service), rollout):
            self._put_status(rollout)
            return
        if service in self.pending and not is_step(before, rollout):
            return
        payload = encoding.to_record(rollout, sent, now)
        self.pending[service] = (rollout, payload)
        self.records.put(records.Write(records.STATE_TOPIC, service, payload))

    def forget(self, service: str) -> None:
        """Drops a rollout, and its record."""
        self.decided.pop(service)
        self.stored.pop(service, None)
        self.pending.pop(service, None)
        self.records.put(records.Write(records.STATE_TOPIC, service, b''))

    def is_stored(self, service: str) -> bool:
        """Tells whether the store holds the step decided last."""
        return not is_step(self.stored.get(service), self.decided[service])

    def told(self, service: str) -> stepper.Rollout:
        """Returns a rollout as it is told.

        A rollback is told at once, any other step after it is stored.
        """
        decided = self.decided[service]
        held = self.stored.get(service)
        if decided.phase is phases.Phase.rolled_back:
            return decided
        if held is None or held.order != decided.order:
            return decided._replace(phase=phases.Phase.exposing, share=0)
        if is_step(held, decided):
            return held._replace(is_paused=decided.is_paused)
        return decided

    def all_told(self) -> dict[str, stepper.Rollout]:
        """Returns all rollouts as they are told."""
        return {service: self.told(service) for service in self.decided}

    def _note_written(self, service: str) -> None:
        pending = self.pending.get(service)
        if pending is None:
            return
        write = records.Write(records.STATE_TOPIC, service, pending[1])
        if self.records.is_written(write):
            self.stored[service] = pending[0]
            self.pending.pop(service)

    def _put_status(self, rollout: stepper.Rollout) -> None:
        """Has operators told of a step that is stored."""
        self.records.put(
            records.Write(
                records.STATUS_TOPIC,
                rollouts.status_key(rollout.service),
                rollouts.encode_status(
                    rollout.service, rollout.phase, rollout.version
                ),
            )
        )


def is_step(before: stepper.Rollout | None, after: stepper.Rollout) -> bool:
    """Tells whether two moments of a rollout differ in what is stored."""
    if before is None:
        return True
    return (before.order, before.phase, before.share) != (
        after.order,
        after.phase,
        after.share,
    )
