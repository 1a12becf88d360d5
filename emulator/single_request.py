"""One HTTP request to a stand-in."""

import json
from typing import Any

import urllib3

TIMEOUT_S = 5


def post_json(url: str, document: dict[str, Any]) -> None:
    """Post a JSON document over a connection of its own.

    :param url: URL to post to.
    :param document: body of the request.
    """
    http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    body = json.dumps(document).encode()
    http.request('POST', url, body=body, headers={'Connection': 'close'})
