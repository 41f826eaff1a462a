"""The OpenAPI description, made from the registry and the schema."""

import re
import typing

from bilberryglade._operations import operations
from bilberryglade_schema import admin_definitions

PREFIX: typing.Final = '/v1'
VERSION: typing.Final = '1'
SCHEMAS: typing.Final = '#/components/schemas/'
PARAMETER: typing.Final = re.compile(r'\{(\w+)\}')

Document: typing.TypeAlias = dict[str, typing.Any]


def describe() -> Document:
    """Returns the OpenAPI 3.1 description of every registered operation."""
    paths: dict[str, Document] = {}
    for operation in operations.operations.entries.values():
        path = paths.setdefault(f'{PREFIX}{operation.path}', {})
        path[operation.method.lower()] = describe_operation(operation)
    return {
        'openapi': '3.1.0',
        'info': {'title': 'bilberryglade administration', 'version': VERSION},
        'security': [{'operators': []}],
        'paths': paths,
        'components': {
            'securitySchemes': {
                'operators': {'type': 'http', 'scheme': 'bearer'},
            },
            'schemas': _rebased(admin_definitions.DEFINITIONS),
        },
    }


def describe_operation(operation: operations.Operation) -> Document:
    """Returns the description of one operation."""
    described: Document = {
        'operationId': operation.name,
        'summary': operation.summary,
        'parameters': _parameter_list(operation),
        'responses': {
            '200': {
                'description': 'done',
                'content': {'application/json': _schema(operation.answer)},
            },
            'default': {
                'description': 'a problem document',
                'content': {
                    'application/problem+json': {
                        'schema': {'$ref': f'{SCHEMAS}Problem'},
                    },
                },
            },
        },
    }
    if operation.method != 'GET':
        described['requestBody'] = {
            'content': {'application/json': _body_schema(operation)},
        }
    return described


def _parameter_list(operation: operations.Operation) -> list[Document]:
    in_path = PARAMETER.findall(operation.path)
    properties = _definition(operation)['properties']
    described = [
        _parameter(name, 'path', properties[name], required=True)
        for name in in_path
    ]
    if operation.method == 'GET':
        described.extend(
            _parameter(name, 'query', properties[name], required=False)
            for name in properties
            if name not in in_path
        )
    if operation.changes:
        described.append(
            _parameter(
                'Idempotency-Key',
                'header',
                {'type': 'string'},
                required=False,
            ),
        )
    return described


def _parameter(
    name: str,
    place: str,
    schema: Document,
    *,
    required: bool,
) -> Document:
    return {
        'name': name,
        'in': place,
        'required': required,
        'schema': _rebased(schema),
    }


def _body_schema(operation: operations.Operation) -> Document:
    definition = _definition(operation)
    in_path = frozenset(PARAMETER.findall(operation.path))
    left = {
        name: schema
        for name, schema in definition['properties'].items()
        if name not in in_path
    }
    required = [name for name in definition.get('required', ()) if name in left]
    rebased = _rebased({**definition, 'properties': left})
    return {'schema': {**rebased, 'required': required}}


def _definition(operation: operations.Operation) -> Document:
    definitions: Document = admin_definitions.DEFINITIONS
    definition: Document = definitions[operation.request.__name__]
    return definition


def _schema(message: type) -> Document:
    return {'schema': {'$ref': f'{SCHEMAS}{message.__name__}'}}


def _rebased(node: typing.Any) -> typing.Any:
    if isinstance(node, dict):
        return {name: _rebased(inner) for name, inner in node.items()}
    if isinstance(node, list):
        return [_rebased(inner) for inner in node]
    if isinstance(node, str) and node.startswith('#/$defs/'):
        return node.replace('#/$defs/', SCHEMAS)
    return node
