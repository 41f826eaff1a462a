"""Keeps the targets and slots that this instance holds up to date."""

import time
import typing
from collections import abc

import immutables

from bilberryglade._log import follower
from bilberryglade._membership import authority, endings, heartbeats
from bilberryglade._ownership import activation, holdings
from bilberryglade._state import state

NEVER: typing.Final = float('-inf')


class HoldingsTracker:
    """Recomputes what this instance holds whenever its inputs change.

    The inputs are the cluster state, the heartbeats and the releases that
    other processes report.
    """

    def __init__(
        self,
        reader: follower.Follower,
        own_heartbeats: heartbeats.Heartbeats,
    ) -> None:
        """Tracks the holdings of the process that sends `own_heartbeats`."""
        self.reader = reader
        self.heartbeats = own_heartbeats
        self.bounds = authority.bounds_of(own_heartbeats.timings)
        #: When authority over earlier states ended, by group of voters.
        self.endings: dict[str, endings.Endings] = {}
        #: Newest offset at which each release was reported.
        self.releases: immutables.Map[activation.Release, int] = (
            immutables.Map()
        )
        #: Subjects of slots whose earlier owner was sent the newer fence, or
        #: could not be reached.
        self.fenced_off: frozenset[str] = frozenset()
        self.holdings = holdings.Holdings()
        #: Monotonic seconds at which authority over each led target ends.
        self.authority_ends_at: dict[str, float] = {}
        #: Offset of the newest ownership change that `endings` contains.
        self.noted_offset = 0
        #: Whether the inputs of `holdings` have changed since the last update.
        self.is_stale = True

    @property
    def view(self) -> state.ClusterState:
        """The newest cluster state that was folded from the log."""
        return self.reader.view

    def facts(self) -> authority.Facts:
        """Returns the facts that the authority of this instance depends on."""
        return authority.Facts(
            view=self.reader.view,
            instance=self.heartbeats.instance,
            boot=self.heartbeats.boot,
            fresh_at=self.reader.known.fresh_at,
            signs=self.heartbeats.signs,
            bounds=self.bounds,
        )

    def inputs(self) -> activation.Inputs:
        """Returns the current inputs of the ownership decisions."""
        handover = activation.HandoverState(
            self.endings,
            self.releases,
            self.fenced_off,
        )
        return activation.Inputs(self.facts(), handover, time.monotonic())

    def handle_state(self, view: state.ClusterState) -> None:
        """Updates the holdings for a newer state, before it is acted on."""
        if view.ownership_changed_at > self.noted_offset:
            self.noted_offset = view.ownership_changed_at
            self._note_ownership_change(view)
        self.is_stale = True
        self.update()

    def update(self) -> None:
        """Brings endings, holdings and ends of authority up to date."""
        facts = self.facts()
        now = time.monotonic()
        for group, group_endings in self.endings.items():
            if group_endings.pending:
                self.endings[group] = endings.advance(group_endings, facts, now)
        if self.is_stale or self.holdings.is_waiting:
            self.is_stale = False
            self.holdings = holdings.compute_holdings(
                self.inputs(),
                self.holdings,
                self.authority_ends_at,
            )
        self.authority_ends_at = {
            target: self.authority_until(target) for target in self.holdings.led
        }

    def authority_until(self, target: str) -> float:
        """Returns until when this instance may act for `target`.

        The time is in monotonic seconds.
        """
        facts = self.facts()
        group = activation.group_of_target(facts.view, target)
        return authority.authority_until(facts, group)

    def has_general_authority(self) -> bool:
        """Returns whether this instance may act in cluster-wide roles now."""
        return authority.has_authority(
            self.facts(),
            authority.GROUP_OF_ALL,
            time.monotonic(),
        )

    def has_authority(self, target: str) -> bool:
        """Returns whether this instance may act for `target` now."""
        facts = self.facts()
        group = activation.group_of_target(facts.view, target)
        return authority.has_authority(facts, group, time.monotonic())

    def record_release(
        self,
        joined_at: int,
        offset: int,
        subjects: abc.Iterable[str],
    ) -> None:
        """Records the releases that a process reports as of `offset`."""
        releases = self.releases
        for subject in subjects:
            release = activation.Release(joined_at, subject)
            newest = max(releases.get(release, 0), offset)
            releases = releases.set(release, newest)
        self.releases = releases
        self.is_stale = True

    def mark_fenced_off(
        self,
        slot_fences: holdings.SlotFences,
    ) -> None:
        """Records that earlier owners were sent newer fences or are unreachable."""
        subjects = {
            activation.slot_subject(slot, fence) for slot, fence in slot_fences
        }
        self.fenced_off = self.fenced_off | subjects
        self.is_stale = True

    def has_released(self, slot: activation.Slot, fence: int) -> bool:
        """Returns whether this instance released `slot` to the owner with `fence`."""
        member = authority.own_member(self.facts())
        if member is None:
            return False
        subject = activation.slot_subject(slot, fence)
        return activation.Release(member.joined_at, subject) in self.releases

    def record_own_release(self, slot: activation.Slot, fence: int) -> None:
        """Records that this instance released `slot` to the owner with `fence`."""
        member = authority.own_member(self.facts())
        if member is None:
            return
        subject = activation.slot_subject(slot, fence)
        self.record_release(
            member.joined_at,
            self.reader.view.offset,
            (subject,),
        )

    def _note_ownership_change(self, view: state.ClusterState) -> None:
        """Adds the newest ownership change to the endings of every group."""
        groups = {authority.GROUP_OF_ALL}
        for members in (
            view.members,
            *(epoch.members for epoch in view.epochs),
        ):
            groups.update(epoch.failure_domain for epoch in members.values())
        for group in groups:
            group_endings = self.endings.get(group, endings.Endings(group))
            changed_at = view.ownership_changed_at
            self.endings[group] = endings.note_change(group_endings, changed_at)
