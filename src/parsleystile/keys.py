"""Callers' and operators' keys: kept as digests, withdrawn for good."""

import hashlib
import secrets

from parsleystile import fleetconfig
from parsleystile import ids

KEY_BYTES = 32
DIGEST_BYTES = 32
MAX_PRESENTED_CHARS = 256
# Fingerprints of keys shown lately; spares the second hash.
CACHE_ENTRIES = 4096
_SALT_PERSON = b'pst-key-salt'


def new_key() -> str:
    """Create a key with 256 random bits."""
    return secrets.token_urlsafe(KEY_BYTES)


def fingerprint(key: str) -> str:
    """Return the unkeyed digest that an operator sends in place of a key.

    A key holds 256 random bits, so its digest can't be searched for.
    """
    return _fingerprint(key).hex()


def _fingerprint(key: str) -> bytes:
    return hashlib.blake2b(
        key.encode('utf-8', 'surrogatepass'), digest_size=DIGEST_BYTES
    ).digest()


def salt_from(fleet_secret: bytes) -> bytes:
    """Derive the salt of the fleet's key digests from its secret."""
    return hashlib.blake2b(
        fleet_secret, digest_size=DIGEST_BYTES, person=_SALT_PERSON
    ).digest()


def stored_digest(salt: bytes, key_fingerprint: str) -> str:
    """Return the keyed digest, in hex, that the document holds."""
    return _keyed(salt, bytes.fromhex(key_fingerprint)).hex()


def _keyed(salt: bytes, print_bytes: bytes) -> bytes:
    return hashlib.blake2b(
        print_bytes, key=salt, digest_size=DIGEST_BYTES
    ).digest()


class KeyRing:
    """Tells whose key a caller shows; every request asks it again.

    Withdrawals only add up: neither an older document nor a newer one
    that lacks them brings a key back.
    """

    def __init__(self, salt: bytes) -> None:
        self._salt = salt
        self._by_digest: dict[bytes, ids.OrganisationId] = {}
        self._operators: dict[bytes, ids.OperatorName] = {}
        self._seen: dict[bytes, ids.OrganisationId] = {}
        self._withdrawn: set[ids.KeyId] = set()
        self._bootstrap: dict[bytes, ids.OperatorName] = {}
        self._config = fleetconfig.FleetConfig()

    def load(self, config: fleetconfig.FleetConfig) -> None:
        """Take the keys of a document; an older one is ignored."""
        if config.version < self._config.version:
            return
        self._config = config
        # The document remembers these by its key counter from now on.
        self._withdrawn = {
            k for k in self._withdrawn if not config.is_withdrawn(k)
        }
        self._rebuild()

    def withdraw(self, key_id: ids.KeyId) -> bool:
        """Withdraw a key ahead of the document; False if it already was."""
        if key_id in self._withdrawn or self._config.is_withdrawn(key_id):
            return False
        self._withdrawn.add(key_id)
        self._rebuild()
        return True

    @property
    def pending_withdrawals(self) -> frozenset[ids.KeyId]:
        """Keys withdrawn here that the document still holds."""
        return frozenset(self._withdrawn)

    def authenticate(self, presented: str) -> ids.OrganisationId | None:
        """Return whose key this is; None if it is nobody's."""
        if len(presented) > MAX_PRESENTED_CHARS:
            return None
        shown = _fingerprint(presented)
        found = self._seen.get(shown)
        if found is not None:
            return found
        # How long a look-up takes depends on hashes alone, and no secret
        # is compared with another: nothing to learn from its timing.
        found = self._by_digest.get(_keyed(self._salt, shown))
        if found is not None:
            if len(self._seen) >= CACHE_ENTRIES:
                self._seen.clear()
            self._seen[shown] = found
        return found

    def authenticate_operator(self, presented: str) -> ids.OperatorName | None:
        """Return which operator's key this is; None if nobody's."""
        if len(presented) > MAX_PRESENTED_CHARS:
            return None
        shown = _fingerprint(presented)
        return self._operators.get(_keyed(self._salt, shown))

    def set_bootstrap(
        self, name: ids.OperatorName, key_fingerprint: str
    ) -> None:
        """Let an operator in while the document names none."""
        digest = bytes.fromhex(self.digest_of(key_fingerprint))
        self._bootstrap = {digest: name}
        self._rebuild()

    def digest_of(self, key_fingerprint: str) -> str:
        """Return what the document holds for a key's fingerprint."""
        return stored_digest(self._salt, key_fingerprint)

    def _rebuild(self) -> None:
        self._seen.clear()
        self._by_digest = {
            bytes.fromhex(key.digest): key.organisation
            for key_id, key in self._config.keys.items()
            if key_id not in self._withdrawn
        }
        # A key from the settings opens an empty document and no other.
        self._operators = {
            bytes.fromhex(operator.digest): name
            for name, operator in self._config.operators.items()
        } or self._bootstrap


def key_ring(fleet_secret: bytes) -> KeyRing:
    """Create a ring without keys for the fleet with this secret."""
    return KeyRing(salt_from(fleet_secret))
