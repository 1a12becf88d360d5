"""The private key that an operator signs bundles with."""

import os
from pathlib import Path

import pydantic
import yaml
from expression import Error, Ok, Result
from nacl.signing import SigningKey

from wasabicross.bundles.manifests import signature_of
from wasabicross.commands.operator_errors import OperatorKeyError
from wasabicross.runtime.documents import Section, read_document, schema_faults
from wasabicross.runtime.errors import DocumentFault
from wasabicross.runtime.settings import HexKey, Name

_PRIVATE_MODE = 0o600


class _KeyFile(Section):
    name: Name
    private_key: HexKey


class OperatorKey:
    """A named Ed25519 key, which never leaves the operator's machine.

    :param name: its name among the trusted keys.
    :param key: the private key.
    """

    def __init__(self, name: str, key: SigningKey) -> None:
        self.name = name
        self._key = key

    @classmethod
    def generate(cls, name: str) -> 'OperatorKey':
        """Generate a new key.

        :param name: its name among the trusted keys.
        """
        return cls(name, SigningKey.generate())

    @classmethod
    def from_file(cls, path: Path) -> Result['OperatorKey', OperatorKeyError]:
        """Read a key from a file that :meth:`write` has written.

        :param path: path of the file.
        """
        try:
            document = read_document(path.read_text(encoding='utf-8'))
            key_fields = _KeyFile.model_validate(document.root)
        except pydantic.ValidationError as exc:
            return Error(OperatorKeyError(schema_faults(exc)))
        except (OSError, UnicodeDecodeError) as exc:
            return Error(
                OperatorKeyError((DocumentFault(str(path), str(exc)),))
            )
        return Ok(
            cls(
                key_fields.name,
                SigningKey(bytes.fromhex(key_fields.private_key)),
            )
        )

    @property
    def public_key(self) -> str:
        """The public key in hexadecimal, as listed in the trusted keys."""
        return bytes(self._key.verify_key).hex()

    def write(self, path: Path) -> None:
        """Write the key to a new file that only its owner can read.

        Raises FileExistsError if the file exists, so that no key is
        overwritten.

        :param path: path of the file.
        """
        key_fields = {'name': self.name, 'private_key': bytes(self._key).hex()}
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        descriptor = os.open(path, flags, _PRIVATE_MODE)
        with os.fdopen(descriptor, 'w', encoding='utf-8') as key_file:
            yaml.safe_dump(key_fields, key_file, sort_keys=False)

    def signature(self, manifest: bytes) -> bytes:
        """Sign a manifest.

        :param manifest: the encoded manifest.
        """
        return signature_of(manifest, self._key)
