"""One entry instance in operation: its loops, its listeners, its stop."""

import asyncio
import typing
from collections import abc

import loguru
import result

from bilberryglade._admin import application as admin
from bilberryglade._callers import application as callers
from bilberryglade._instance import composition, serving, stopping
from bilberryglade_schema import settings

ADMIN_STOP_SECONDS: typing.Final = 1
#: A peer that hears nothing declares this instance lost.
LEAVE_SECONDS: typing.Final = 1.0
#: Peers go on forwarding until they have folded the leave.
HANDOVER_SECONDS: typing.Final = 0.3
#: Answers to peers leave the sockets' queues.
FLUSH_SECONDS: typing.Final = 0.1


class Node:
    """Runs the parts of an instance from start to planned stop."""

    def __init__(self, config: settings.InstanceSettings) -> None:
        """Wires the parts; nothing runs yet."""
        self.config = config
        self.parts = composition.Parts(config)
        #: Loops that ended by a broken invariant.
        self.broken: list[BaseException] = []

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, then stops as planned.

        A loop that ends by an exception has found a broken invariant: the
        instance then stops as planned and raises it.
        """
        parts = self.parts
        parts.stopper.install()
        parts.peers.open()
        bounds = serving.bounds_of(self.config)
        admin_server = serving.server_for(
            admin.application(parts.admin_front),
            self.config['listen']['admin'],
            bounds._replace(stop_seconds=ADMIN_STOP_SECONDS),
        )
        background = [
            self._start(loop) for loop in (*self._loops(), admin_server.serve())
        ]
        await self._serve_callers(bounds)
        await self._leave(bounds.stop_seconds)
        admin_server.should_exit = True
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        parts.peers.close()
        await parts.targets.close()
        if self.broken:
            raise self.broken[0]

    def _loops(self) -> list[abc.Coroutine[None, None, None]]:
        parts = self.parts
        return [
            parts.reader.follow(),
            parts.granter.run(),
            parts.releases.run(),
            parts.duties.perform(),
            parts.list_watch.watch(),
            parts.heartbeats.beat(),
            parts.named.follow(),
            parts.observation.watch(),
            parts.quotas.keep(),
            parts.snapshot_writer.perform(),
            parts.cold_start.wait_until_ready(),
            parts.join(),
            self._receive(),
        ]

    def _start(
        self,
        loop: abc.Coroutine[None, None, None],
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(loop)
        task.add_done_callback(self._check)
        return task

    def _check(self, task: asyncio.Task[None]) -> None:
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        loguru.logger.critical('broken invariant: {!r}', error)
        self.broken.append(error)
        self.parts.stopper.requested.set()

    async def _serve_callers(self, bounds: serving.Bounds) -> None:
        application = callers.application(
            self.parts.front,
            self.parts.observation.meter.take,
        )
        server = serving.server_for(
            serving.closing(
                application, lambda: self.parts.stopper.is_requested
            ),
            self.config['listen']['callers'],
            bounds,
        )
        await stopping.wait_until(self._may_listen, float('inf'))
        serve = asyncio.create_task(server.serve())
        await self.parts.stopper.requested.wait()
        await asyncio.sleep(serving.notice_seconds(self.config))
        server.should_exit = True
        await serve

    def _may_listen(self) -> bool:
        return self.parts.is_ready() or self.parts.stopper.is_requested

    async def _leave(self, seconds: int) -> None:
        """Gives up every role, then lets forwarded requests end.

        No vote is given from before the record on, so that its readers can
        count on it; successors then have time to ask for releases.
        """
        self.parts.heartbeats.is_silent = True
        view = self.parts.reader.view
        member = view.members.get(self.config['instance'])
        if member is not None and member.boot == self.parts.boot:
            record = stopping.leave_record(member)
            await self.parts.writer.commit(record, LEAVE_SECONDS)
        await asyncio.sleep(HANDOVER_SECONDS)
        await stopping.wait_until(self.parts.dispatcher.is_idle, seconds)
        await asyncio.sleep(FLUSH_SECONDS)

    async def _receive(self) -> None:
        while True:
            received = await self.parts.peers.receive()
            if isinstance(received, result.Err):
                self.parts.observation.take_rejected(received.err_value.cause)
                continue
            message = received.ok_value.message
            self.parts.observation.take_message(message['kind'])
            received.ok_value.handler.handle(self.parts, message)
