"""Resident memory of one real node that holds a full-size deployment."""

from __future__ import annotations

import argparse
import asyncio
import typing

from benchmarks import measure
from pomelobend.configuration import manifest as manifests
from pomelobend import errors
from pomelobend.membership import member as members
from pomelobend.peers import codec
from pomelobend.peers import connection as connections
from pomelobend.peers import link as links
from pomelobend.peers import messages
from standins import fleet as fleets

TARGET_MB = 128
SERVICES_OF_TEAM = 4
ROUTES_OF_SERVICE = 5
DOMAINS = 19


def documents(services: int) -> list[dict[str, typing.Any]]:
    """Return the documents of teams that own four services each."""
    names = [f'service-{index}' for index in range(services)]
    teams = [
        names[start : start + SERVICES_OF_TEAM]
        for start in range(0, services, SERVICES_OF_TEAM)
    ]
    return [
        {
            'team': f'team-{number}',
            'services': [{'name': name} for name in owned],
            'routes': [
                {
                    'name': f'{name}-{index}',
                    'path': f'/{name}/{index}/',
                    'service': name,
                    'is_idempotent': True,
                }
                for name in owned
                for index in range(ROUTES_OF_SERVICE)
            ],
        }
        for number, owned in enumerate(teams)
    ]


def offer(services: int) -> messages.Offer:
    """Return a configuration of a number of services."""
    manifest = manifests.Manifest()
    by_digest = {}
    for document in documents(services):
        digest = manifests.digest(document)
        by_digest[digest] = document
        manifest = manifest.with_change(
            digest, document['team'], digest, 'operator', 'now'
        )
    return messages.Offer(manifest.without_history(), by_digest)


def records(targets: int, services: int) -> list[list]:
    """Return the records of a number of targets."""
    return [
        codec.member_to_wire(
            members.Member(
                f'node-{index}',
                1_700_000_000_000_000_000 + index,
                1,
                f'domain-{index % DOMAINS}',
                f'10.{index // 65536}.{index // 256 % 256}.{index % 256}:7001',
                f'service-{index % services}',
                '1',
                members.State.SERVING,
                6,
            )
        )
        for index in range(targets)
    ]


async def feed(link: links.Link, services: int, targets: int) -> None:
    """Feed one node as a relay would."""
    own = messages.Hello(messages.PROTOCOL, 'relay', 1, 'selfoss', '')
    try:
        await connections.greet(link, own, 10)
        link.send(codec.encode(messages.Relays({}, True)))
        link.send(
            codec.encode(
                messages.Members(records(targets, services), [], True)
            )
        )
        link.send(codec.encode(offer(services)))
        while True:
            await link.receive()
            link.send(codec.encode(messages.Heartbeat(0)))
    except errors.PeerError:
        pass


async def run(services: int, targets: int) -> dict[str, typing.Any]:
    """Measure and return the result."""
    async with fleets.Fleet.open() as fleet:
        (port,) = fleets.free_ports(1)
        server = await links.listen(
            f'127.0.0.1:{port}',
            2**24,
            lambda link: feed(link, services, targets),
            links.Traffic(),
        )
        fleet.platform_address = '127.0.0.1:9'
        node = fleet.add_node(
            'n1', 'selfoss', peers={'seeds': [f'127.0.0.1:{port}']}
        )
        fleet.start_node('n1')

        async def is_loaded() -> bool:
            state = await fleet.status('n1')
            return (
                state.get('number', 0) > 0
                and len(state.get('members', ())) > targets
            )

        await asyncio.sleep(2)
        if targets:
            await fleet.until(is_loaded, measure.START_S)
        await asyncio.sleep(1)
        usage = measure.Usage.of(node.process)
        server.close()
    return {
        'services': services,
        'targets': targets,
        'rss_mb': round(usage.rss_bytes / 1e6, 1),
        'target_mb': TARGET_MB,
    }


def main() -> None:
    """Parse arguments, measure and report."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--services', type=int, default=100)
    parser.add_argument('--targets', type=int, default=3400)
    args = parser.parse_args()
    measure.report(asyncio.run(run(args.services, args.targets)))


if __name__ == '__main__':
    main()
