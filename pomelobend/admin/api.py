"""The administration API that every node serves."""

from __future__ import annotations

import typing
import uuid

import attrs
import sanic
from sanic import response as responses

from pomelobend import __version__
from pomelobend.admin import limits
from pomelobend.admin import tokens as token_module
from pomelobend import config
from pomelobend.configuration import commands as configuration_commands
from pomelobend.configuration import difference
from pomelobend.documents import model
from pomelobend.documents import validate
from pomelobend import errors
from pomelobend.findings import kinds
from pomelobend.findings import reader
from pomelobend.findings import source as sources
from pomelobend.targets import local as local_targets

if typing.TYPE_CHECKING:
    from sanic import request as requests

    from pomelobend import app as apps

STATUS = {
    errors.FindingsError: 422,
    errors.ConfigurationConflictError: 409,
    errors.ConfigurationUnsettledError: 504,
    errors.PlatformUnavailableError: 503,
    errors.PlatformNotFoundError: 404,
    token_module.UnauthorizedError: 401,
    token_module.ForbiddenError: 403,
    limits.RateLimitedError: 429,
}
"""Status of an error response; 500 for any other project error."""


@attrs.define(eq=False)
class Api:
    """HTTP resources for operators, targets and monitoring."""

    node: apps.Node
    tokens: token_module.Tokens
    rates: limits.Rates
    server: typing.Any = None

    async def listen(self) -> None:
        """Start serving."""
        app = sanic.Sanic('admin', configure_logging=False)
        app.config.update(
            ACCESS_LOG=False, TOUCHUP=False, REQUEST_MAX_SIZE=2**20
        )
        self._add_routes(app)
        app.error_handler.add(errors.PomelobendError, self._answer_error)
        host, port = config.split_address(self.node.settings.listen.admin)
        self.server = await app.create_server(host, port, access_log=False)
        await self.server.startup()
        await self.server.start_serving()

    def close(self) -> None:
        """Stop serving."""
        if self.server is not None:
            self.server.close()
            for connection in list(self.server.connections):
                connection.close_if_idle()

    def _add_routes(self, app: sanic.Sanic) -> None:
        app.add_route(self.health, '/healthz')
        app.add_route(self.readiness, '/readyz')
        app.add_route(self.metrics, '/metrics')
        app.add_route(self.status, '/v1/status')
        app.add_route(self.announce, '/v1/target', methods=['PUT'])
        app.add_route(self.list_documents, '/v1/documents')
        app.add_route(self.get_document, '/v1/documents/<team>')
        app.add_route(
            self.put_document, '/v1/documents/<team>', methods=['PUT']
        )
        app.add_route(
            self.restore, '/v1/documents/<team>/restore', methods=['POST']
        )
        app.add_route(self.history, '/v1/history')

    async def health(self, request: requests.Request) -> typing.Any:
        """Report that the event loop of the process runs."""
        return responses.json({'status': 'alive', 'version': __version__})

    async def readiness(self, request: requests.Request) -> typing.Any:
        """Report whether the node can take calls, and what is missing."""
        unmet = self.node.not_ready()
        return responses.json(
            {'ready': not unmet, 'missing': unmet},
            status=503 if unmet else 200,
        )

    async def metrics(self, request: requests.Request) -> typing.Any:
        """Return the metrics of the node."""
        body, headers = self.node.exposition.render(
            request.headers.get('accept', '')
        )
        return responses.raw(body, headers=headers)

    async def status(self, request: requests.Request) -> typing.Any:
        """Return the state of the node and what it knows of other nodes."""
        return responses.json(self.node.status())

    async def announce(self, request: requests.Request) -> typing.Any:
        """Receive an announcement of the local target."""
        source = sources.Source.from_text(
            request.body.decode('utf-8', 'replace'), 'announcement'
        )
        self.node.path.local.hear(
            reader.read_source(local_targets.Announcement, source)
        )
        interval_s = self.node.settings.target.heartbeat.total_seconds() / 3
        return responses.json({'again_within_ms': round(interval_s * 1000)})

    async def list_documents(self, request: requests.Request) -> typing.Any:
        """List the document of each team in the configuration active here."""
        manifest = self.node.base.store.snapshot.manifest
        return responses.json(
            {
                'number': manifest.number,
                'documents': {
                    team: {'digest': ref.digest, 'number': ref.number}
                    for team, ref in sorted(manifest.documents.items())
                },
            }
        )

    async def get_document(
        self, request: requests.Request, team: str
    ) -> typing.Any:
        """Return the accepted document of a team, read from the platform."""
        number, document = await self.node.platform.accepted.document(team)
        if document is None:
            raise errors.PlatformNotFoundError(f'{team} has no document')
        return responses.json({'number': number, 'document': document})

    async def put_document(
        self, request: requests.Request, team: str
    ) -> typing.Any:
        """Accept a document, or only check it in a dry run."""
        owner = self._authorize_change(request)
        source = sources.Source.from_text(
            request.body.decode('utf-8', 'replace'), f'{team}.json'
        )
        change = _change(request, team, owner, source.value)
        return await self._accept(request, owner, change)

    async def restore(
        self, request: requests.Request, team: str
    ) -> typing.Any:
        """Accept the team's document of an earlier configuration again."""
        owner = self._authorize_change(request)
        number = request.args.get('number', '')
        document = await self.node.platform.accepted.document_at(
            team, int(number) if number.isdigit() else -1
        )
        change = _change(request, team, owner, document)
        return await self._accept(request, owner, change)

    async def history(self, request: requests.Request) -> typing.Any:
        """List the accepted changes, newest first."""
        manifest, _ = await self.node.platform.accepted.manifest()
        return responses.json(
            {'changes': [attrs.asdict(c) for c in manifest.history[::-1]]}
        )

    def _authorize_change(self, request: requests.Request) -> config.Team:
        """Authenticate a change request and apply the team's rate limit."""
        owner = self.tokens.team(request.headers.get('authorization', ''))
        self.rates.consume(owner.name)
        return owner

    async def _accept(
        self,
        request: requests.Request,
        owner: config.Team,
        change: configuration_commands.Request,
    ) -> typing.Any:
        """Accept a change, or return its effect in a dry run."""
        document = validate.parse(
            sources.Source.from_value(change.document, f'{change.team}.json')
        )
        _, before = await self.node.platform.accepted.document(change.team)
        token_module.require_document_right(
            owner, document, _domains(change.team, before)
        )
        if request.args.get('dry-run') == 'true':
            built = await self.node.platform.changes.check(change)
            return responses.json(
                {
                    'number': built.number,
                    'accepted': False,
                    'difference': difference.lines(before, change.document),
                }
            )
        accepted = await self.node.platform.changes.accept(change)
        return responses.json({**attrs.asdict(accepted), 'accepted': True})

    async def _answer_error(
        self, request: requests.Request, error: errors.PomelobendError
    ) -> typing.Any:
        self.node.base.counters.add('admin_refused', error.code)
        body: dict[str, typing.Any] = {
            'code': error.code,
            'message': str(error),
        }
        if isinstance(error, errors.FindingsError):
            body['findings'] = [attrs.asdict(f) for f in error.findings]
        if isinstance(error, errors.ConfigurationConflictError):
            body['current'] = error.current
        status = next(
            (s for cls, s in STATUS.items() if isinstance(error, cls)), 500
        )
        return responses.json(body, status=status)


@attrs.frozen
class _Arguments:
    """Query arguments of a change request."""

    expected: int = kinds.option(
        kinds.Whole(),
        'configuration that introduced the document to be replaced',
    )
    change: str = kinds.option(
        kinds.Text(pattern='[a-zA-Z0-9-]{8,64}|'),
        'unique id of the change',
        default='',
    )


def _domains(
    team: str, document: typing.Any
) -> tuple[model.DomainDecision, ...]:
    """Return the decisions about failure domains in a document."""
    if document is None:
        return ()
    source = sources.Source.from_value(document, f'{team}.json')
    return validate.parse(source).domains


def _change(
    request: requests.Request,
    team: str,
    owner: config.Team,
    document: typing.Any,
) -> configuration_commands.Request:
    """Build the change that a request describes."""
    arguments = reader.read_source(
        _Arguments,
        sources.Source.from_value(
            {
                key: int(value)
                if key == 'expected' and value.isdigit()
                else value
                for key, (value, *_) in request.args.items()
                if key in ('expected', 'change')
            },
            'arguments',
        ),
    )
    return configuration_commands.Request(
        arguments.change or uuid.uuid4().hex,
        team,
        document,
        arguments.expected,
        owner.name,
    )
