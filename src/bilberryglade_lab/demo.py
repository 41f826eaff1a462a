"""The demo: a deployment under traffic, with the faults of an ordinary week.

Phases: undisturbed; a target lost; a failure domain taken out; the failure
domain restored; an API key withdrawn. At the end one table of figures.
"""

import asyncio
import typing
import uuid

from rich import console as consoles, table as tables

from bilberryglade._rules import reader, rules
from bilberryglade_lab import deployment, figures, shapes, traffic

SEED: typing.Final = 7
PHASE_SECONDS: typing.Final = 7.0
WITHDRAWAL_SECONDS: typing.Final = 4.0
#: Shares of an organisation's rate that it sends.
READ_SHARE: typing.Final = 0.5
WRITE_SHARE: typing.Final = 0.1
SKEW: typing.Final = 0.8
TABLE_COLUMNS: typing.Final = 150


class Phase(typing.NamedTuple):
    """A stretch of the demo and the calls made in it."""

    name: str
    calls: list[traffic.Call]


class Demo:
    """Runs the phases over one deployment."""

    def __init__(self, running: deployment.Deployment) -> None:
        """Uses a deployment that is started."""
        self.running = running
        self.phases: list[Phase] = []
        addresses = [
            f'127.0.0.1:{place.caller_port}'
            for place in running.instances.values()
        ]
        self.traffic = traffic.Traffic(
            traffic.Balancer(addresses),
            running.secrets,
            SEED,
        )
        self.flows = flows_of(running.shape)
        self.domain_changed_at = 0

    async def run(self) -> None:
        """Runs all phases."""
        await self._phase('undisturbed', PHASE_SECONDS)
        await self._lose_target()
        await self._phase('target lost', PHASE_SECONDS)
        await self._change_domain('out')
        await self._phase('failure domain out', PHASE_SECONDS)
        await self._change_domain('in_service')
        await self._phase('failure domain restored', PHASE_SECONDS)
        await self._withdraw_key()
        await self._phase('API key withdrawn', WITHDRAWAL_SECONDS)

    async def table(self) -> tables.Table:
        """Returns the figures of every phase."""
        table = tables.Table(title=f'Demo: {self.running.shape.name}')
        for title in (
            'phase',
            'calls',
            'answered',
            'p50 ms',
            'p99 ms',
            'longest gap of a key s',
            'refused for rate',
            'unknown',
            'worst-served organisation',
        ):
            table.add_column(title, justify='right')
        for phase in self.phases:
            table.add_row(*_cells(phase))
        imbalance = await self._imbalance()
        table.caption = (
            f'imbalance (max over mean of work a target): {imbalance}'
        )
        return table

    async def _phase(self, name: str, seconds: float) -> None:
        self.traffic.calls = []
        await self.traffic.run(self.flows, seconds)
        self.phases.append(Phase(name, self.traffic.calls))

    async def _lose_target(self) -> None:
        first = self.running.shape.services[0]
        name = f'{first.service}-0'
        await self.running.set_target_faults(name, {'frozen': True})

    async def _change_domain(self, state: str) -> None:
        name = self.running.shape.failure_domains[-1]
        self.domain_changed_at = await self.running.append(
            {
                'id': uuid.uuid4().hex,
                'kind': 'failure_domain_changed',
                'failure_domain': name,
                'state': state,
                'based_on': self.domain_changed_at,
                'by': 'demo',
            },
        )

    async def _withdraw_key(self) -> None:
        organisation = self.running.shape.organisations[-1]
        await self.running.append(
            {
                'id': uuid.uuid4().hex,
                'kind': 'key_withdrawn',
                'key_id': f'key-{organisation}',
            },
        )

    async def _imbalance(self) -> str:
        shares = []
        for service in self.running.shape.services:
            counts = [
                len(await self.running.journal(place.name))
                for place in self.running.targets.values()
                if place.service == service.service
                and place.name != f'{service.service}-0'
            ]
            mean = sum(counts) / len(counts)
            shares.append(f'{service.service} {max(counts) / max(mean, 1):.2f}')
        return ', '.join(shares)


def flows_of(shape: shapes.DeploymentShape) -> list[traffic.Flow]:
    """Returns traffic of every organisation, well inside its rates."""
    book = reader.read_rules(shape.rules).unwrap()
    reads = shape.services[0].service
    return [
        _read_flow(rule) if rule.service == reads else _write_flow(rule)
        for rule in book.allows
    ]


def _read_flow(rule: rules.AllowRule) -> traffic.Flow:
    return traffic.Flow(
        organisation=rule.organisation,
        method='GET',
        path=f'/{rule.service}/{{key}}',
        rate=rule.rate * READ_SHARE,
        skew=SKEW,
    )


def _write_flow(rule: rules.AllowRule) -> traffic.Flow:
    return traffic.Flow(
        organisation=rule.organisation,
        method='POST',
        path=f'/{rule.service}/new',
        rate=rule.rate * WRITE_SHARE,
        once=True,
    )


def _cells(phase: Phase) -> list[str]:
    total = figures.figures_of(phase.calls)
    worst = figures.by_organisation(phase.calls)[0]
    return [
        phase.name,
        str(total.calls),
        f'{total.answered:.2%}',
        f'{total.p50_ms:.1f}',
        f'{total.p99_ms:.1f}',
        f'{figures.longest_gap_seconds(phase.calls):.2f}',
        str(total.refused_for_rate),
        str(total.unknown),
        f'{worst.organisation} {worst.figures.answered:.2%}',
    ]


async def run_demo(shape: shapes.DeploymentShape, *, keep: bool) -> None:
    """Starts `shape`, runs the demo, prints its table, ends everything.

    With `keep` the deployment stays up until the caller cancels.
    """
    console = consoles.Console(width=TABLE_COLUMNS)
    running = deployment.Deployment(shape)
    try:
        await running.start()
        console.print(
            f'{shape.name}: {len(running.instances)} instances are up'
        )
        demo = Demo(running)
        await demo.run()
        console.print(await demo.table())
        if keep:
            _print_addresses(console, running)
            await asyncio.Event().wait()
    finally:
        await running.stop()


def _print_addresses(
    console: consoles.Console,
    running: deployment.Deployment,
) -> None:
    for place in running.instances.values():
        console.print(
            f'{place.name} ({place.failure_domain}): '
            f'callers 127.0.0.1:{place.caller_port}, '
            f'admin 127.0.0.1:{place.admin_port}',
        )
    place = next(iter(running.instances.values()))
    organisation = running.shape.organisations[0]
    service = running.shape.services[0].service
    console.print(
        f"curl -H 'x-api-key: {running.secrets[organisation]}' "
        f'http://127.0.0.1:{place.caller_port}/{service}/child-1',
    )
