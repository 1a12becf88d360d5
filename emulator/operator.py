"""An operator of a deployment, who prepares, signs off and rolls bundles."""

import base64
from typing import Any

import yaml

from emulator.deployment import (
    BASE_MODEL,
    KEY_NAME,
    OPERATOR_TOKEN,
    Deployment,
)
from emulator.link_table import HOST
from wasabicross.bundles.manifests import signature_of
from wasabicross.commands.admin_client import AdminClient, Answer

ROUTES: tuple[dict[str, Any], ...] = (
    {
        'path': '/v1/chat/completions',
        'kind': 'engine',
        'group': 'drafting',
        'request_class': 'drafting',
        'idempotent_methods': ['POST'],
    },
    {
        'path': '/orders',
        'kind': 'service',
        'group': 'order-desk',
        'request_class': 'orders',
        'idempotent_methods': ['GET'],
    },
)


def bundle_text(
    versions: dict[str, str],
    name: str = 'bundle',
    policy: dict[str, float] | None = None,
) -> str:
    """Return a bundle file.

    :param versions: versions by adapter name.
    :param name: name of the bundle.
    :param policy: weights of the routing policy.
    """
    document = {
        'name': name,
        'routes': list(ROUTES),
        'adapters': [{'base_model': BASE_MODEL, 'versions': versions}],
        'policy': policy or {},
    }
    return yaml.safe_dump(document)


class Operator:
    """Calls the administration API of one instance.

    :param deployment: a running deployment.
    :param number: index of the instance whose API is used.
    """

    def __init__(self, deployment: Deployment, number: int = 0) -> None:
        admin = deployment.admins[number]
        self._key = deployment.signing_key
        self.client = AdminClient(f'http://{HOST}:{admin.port}', OPERATOR_TOKEN)

    def sign_off(self, text: str) -> str:
        """Prepare a bundle file, sign it off and return its digest.

        :param text: the bundle file.
        """
        digest: str = _content(self.client.prepare(text))['digest']
        draft = _content(self.client.draft(digest))
        manifest = base64.b64decode(draft['manifest'])
        signature = signature_of(manifest, self._key)
        _content(self.client.sign_off(digest, KEY_NAME, signature))
        return digest

    def roll(self, text: str) -> int:
        """Bring a bundle file into force; return the bundle's number.

        :param text: the bundle file.
        :raises AdminClientError: a step was refused.
        """
        number: int = _content(self.client.roll(self.sign_off(text)))['number']
        return number

    def is_in_force_everywhere(self, number: int) -> bool:
        """Return whether a bundle is in force in every data centre.

        :param number: number of the bundle.
        """
        status = self.client.status()
        if status.is_error():
            return False
        return all(
            data_centre['bundle_number'] == number
            for data_centre in status.ok['data_centres']
        )


def _content(answer: Answer) -> dict[str, Any]:
    if answer.is_error():
        raise answer.error
    return answer.ok
