"""A running deployment: stand-ins, entry instances, rules and API keys."""

import asyncio
import hashlib
import pathlib
import tempfile
import typing
import uuid

import aiosonic
import msgspec
import zmq
from aiosonic import connectors, exceptions, pools, timeout

from bilberryglade_lab import instance_settings, processes, shapes
from bilberryglade_schema import platform, settings

START_SECONDS: typing.Final = 20.0
POLL_SECONDS: typing.Final = 0.05
ADMIN_TOKEN: typing.Final = instance_settings.ADMIN_TOKEN
CONNECTION_IDLE_MS: typing.Final = 1000
OK_STATUS: typing.Final = 200


class TargetPlace(typing.NamedTuple):
    """Where a stand-in target listens and what it is."""

    name: str
    service: str
    failure_domain: str
    port: int


class InstancePlace(typing.NamedTuple):
    """Where an entry instance listens."""

    name: str
    failure_domain: str
    caller_port: int
    admin_port: int
    settings_path: pathlib.Path


class Deployment:
    """Processes of one deployment on 127.0.0.1."""

    def __init__(self, shape: shapes.DeploymentShape) -> None:
        """Prepares a deployment of `shape`; nothing is started."""
        self.shape = shape
        self.folder = tempfile.TemporaryDirectory()
        ports = processes.free_ports(2)
        self.log_port = ports[0]
        self.list_port = ports[1]
        self.http = aiosonic.HTTPClient(
            connectors.TCPConnector(
                pool_configs={
                    ':default': pools.PoolConfig(
                        max_conn_idle_ms=CONNECTION_IDLE_MS,
                    ),
                },
            ),
        )
        self.targets: dict[str, TargetPlace] = {}
        self.instances: dict[str, InstancePlace] = {}
        self.running: dict[str, processes.Process] = {}
        self.secrets: dict[str, str] = {}
        self.fleet_keys = zmq.curve_keypair()

    async def start(self) -> None:
        """Starts everything and waits until callers are served."""
        await self._start_platform()
        await self._start_targets()
        await self._register_targets()
        await self._publish()
        for number in range(self.shape.instances):
            await self.start_instance(number)
        await self._wait_until_served()

    async def stop(self) -> None:
        """Ends every process that this deployment started.

        Instances go first: a planned stop needs the log.
        """
        instances = [self.running[name] for name in self.instances]
        for group in (instances, self.running.values()):
            await asyncio.gather(*(processes.stop(row) for row in group))
        self.folder.cleanup()

    async def start_instance(self, number: int) -> InstancePlace:
        """Starts the entry instance with this number."""
        domains = self.shape.failure_domains
        domain = domains[number % len(domains)]
        name = f'entry-{number}'
        ports = processes.free_ports(3)
        path = pathlib.Path(self.folder.name) / f'{name}.yaml'
        config = self.settings_of(name, domain, ports)
        path.write_bytes(msgspec.yaml.encode(config))
        place = InstancePlace(name, domain, ports[0], ports[1], path)
        self.instances[name] = place
        await self._list_instance(name, domain, ports[2])
        arguments = ['bilberryglade', 'run', '--settings', str(path)]
        self.running[name] = await processes.start(name, arguments)
        return place

    def settings_of(
        self,
        name: str,
        failure_domain: str,
        ports: list[int],
    ) -> settings.InstanceSettings:
        """Returns the settings of an entry instance."""
        public_key, secret_key = self.fleet_keys
        return instance_settings.settings_of(
            instance_settings.Place(name, failure_domain, ports),
            {
                'log_url': f'http://127.0.0.1:{self.log_port}',
                'list_url': f'http://127.0.0.1:{self.list_port}',
            },
            {
                'public_key': public_key.decode(),
                'secret_key': secret_key.decode(),
            },
        )

    async def call(
        self,
        instance: str,
        organisation: str,
        path: str,
        method: str = 'GET',
        body: bytes | None = None,
        *,
        idempotency_key: str = '',
    ) -> tuple[int, bytes]:
        """Sends a request to an instance; returns status and body.

        Each request has a name of its own unless `idempotency_key` is given.
        """
        port = self.instances[instance].caller_port
        secret = self.secrets[organisation]
        response = await self.http.request(
            f'http://127.0.0.1:{port}{path}',
            method,
            headers={
                'authorization': f'Bearer {secret}',
                'idempotency-key': idempotency_key or uuid.uuid4().hex,
            },
            data=body,
            timeouts=timeout.Timeouts(request_timeout=START_SECONDS),
        )
        return response.status_code, await response.content()

    async def append(self, record: dict[str, typing.Any]) -> int:
        """Appends a record to the control stream and returns its offset."""
        url = f'http://127.0.0.1:{self.log_port}/streams/control/records'
        response = await self.http.post(url, data=msgspec.json.encode(record))
        answer = msgspec.json.decode(
            await response.content(),
            type=platform.AppendAnswer,
        )
        return answer['offset']

    async def set_target_faults(
        self,
        target: str,
        faults: dict[str, typing.Any],
    ) -> None:
        """Replaces the faults in force at a stand-in target."""
        port = self.targets[target].port
        await self.http.put(
            f'http://127.0.0.1:{port}/-/faults',
            data=msgspec.json.encode(faults),
        )

    async def journal(self, target: str) -> list[platform.JournalEntry]:
        """Returns what a stand-in target ran."""
        port = self.targets[target].port
        response = await self.http.get(f'http://127.0.0.1:{port}/-/journal')
        return msgspec.json.decode(
            await response.content(),
            type=list[platform.JournalEntry],
        )

    async def _list_instance(
        self,
        name: str,
        failure_domain: str,
        peer_port: int,
    ) -> None:
        """Lists an instance as the platform does for those it started."""
        await self._put_row(
            {
                'name': name,
                'role': 'instance',
                'service': '',
                'failure_domain': failure_domain,
                'address': f'127.0.0.1:{peer_port}',
                'concurrency': 0,
                'fenced': False,
                'state': 'live',
            },
        )

    async def _put_row(self, row: platform.ListedMember) -> None:
        await self.http.put(
            f'http://127.0.0.1:{self.list_port}/members/{row["name"]}',
            data=msgspec.json.encode(row),
        )

    async def _start_platform(self) -> None:
        for name, port in (
            ('log', self.log_port),
            ('members', self.list_port),
        ):
            arguments = ['bilberryglade_stand_ins', name, '--port', str(port)]
            self.running[name] = await processes.start(name, arguments)
        await self._wait_for(f'http://127.0.0.1:{self.log_port}/report')
        await self._wait_for(f'http://127.0.0.1:{self.list_port}/members')

    async def _start_targets(self) -> None:
        rows = self._target_rows()
        path = pathlib.Path(self.folder.name) / 'targets.json'
        path.write_bytes(msgspec.json.encode(rows))
        arguments = [
            'bilberryglade_stand_ins',
            'targets',
            '--shapes',
            str(path),
        ]
        self.running['targets'] = await processes.start('targets', arguments)
        for place in self.targets.values():
            await self._wait_for(f'http://127.0.0.1:{place.port}/-/health')

    def _target_rows(self) -> list[dict[str, typing.Any]]:
        rows: list[dict[str, typing.Any]] = []
        domains = self.shape.failure_domains
        for service in self.shape.services:
            ports = processes.free_ports(service.targets)
            for number, port in enumerate(ports):
                domain = domains[number % len(domains)]
                name = f'{service.service}-{number}'
                place = TargetPlace(name, service.service, domain, port)
                self.targets[name] = place
                rows.append(_target_row(place, service))
        return rows

    async def _register_targets(self) -> None:
        services = {row.service: row for row in self.shape.services}
        for place in self.targets.values():
            service = services[place.service]
            row: platform.ListedMember = {
                'name': place.name,
                'role': 'target',
                'service': place.service,
                'failure_domain': place.failure_domain,
                'address': f'127.0.0.1:{place.port}',
                'concurrency': service.concurrency,
                'fenced': service.fenced,
                'state': 'live',
            }
            await self._put_row(row)

    async def _publish(self) -> None:
        await self.append(
            {
                'id': 'first-rules',
                'kind': 'rules_published',
                'by': 'deployment',
                'based_on': 0,
                'text': self.shape.rules,
            },
        )
        for organisation in self.shape.organisations:
            secret = f'secret-of-{organisation}'
            self.secrets[organisation] = secret
            await self.append(
                {
                    'id': f'first-key-of-{organisation}',
                    'kind': 'key_issued',
                    'organisation': organisation,
                    'key_id': f'key-{organisation}',
                    'digest': hashlib.sha256(secret.encode()).hexdigest(),
                },
            )

    async def _wait_until_served(self) -> None:
        organisation = self.shape.organisations[0]
        service = self.shape.services[0].service
        for instance in self.instances:
            for number in range(20):
                path = f'/{service}/start-{number}'
                await self._wait_for_answer(instance, organisation, path)

    async def _wait_for_answer(
        self,
        instance: str,
        organisation: str,
        path: str,
    ) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_SECONDS
        while loop.time() < deadline:
            try:
                status, _ = await self.call(instance, organisation, path)
            except (exceptions.AiosonicError, exceptions.BaseTimeout, OSError):
                status = 0
            if status == OK_STATUS:
                return
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(f'{instance} does not serve {path}')

    async def _wait_for(self, url: str) -> None:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_SECONDS
        while loop.time() < deadline:
            try:
                await self.http.get(url)
            except (exceptions.AiosonicError, exceptions.BaseTimeout, OSError):
                await asyncio.sleep(POLL_SECONDS)
                continue
            return
        raise TimeoutError(f'{url} does not answer')


def _target_row(
    place: TargetPlace,
    service: shapes.ServiceShape,
) -> dict[str, typing.Any]:
    return {
        'name': place.name,
        'service': place.service,
        'failure_domain': place.failure_domain,
        'port': place.port,
        'concurrency': service.concurrency,
        'fenced': service.fenced,
        'work_seconds': service.work_seconds,
        'warm_after': service.warm_after,
        'cold_limit': service.cold_limit,
    }
