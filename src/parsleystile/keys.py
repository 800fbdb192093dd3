"""API keys of callers and operators, stored as digests."""

import hashlib
import secrets

from parsleystile import fleetconfig
from parsleystile import ids

KEY_BYTES = 32
DIGEST_BYTES = 32
MAX_PRESENTED_CHARS = 256
# Fingerprints of recently presented keys, to skip the keyed hash.
MAX_CACHE_ENTRIES = 4096
_SALT_PERSON = b'pst-key-salt'


def new_key() -> str:
    """Create a key with 256 random bits."""
    return secrets.token_urlsafe(KEY_BYTES)


def fingerprint(key: str) -> str:
    """Return the unkeyed digest that an operator sends instead of a key.

    A key has 256 random bits, so it can't be found from its digest by
    brute force.
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
    """Return the keyed digest, in hex, that the document stores."""
    return _keyed_digest(salt, bytes.fromhex(key_fingerprint)).hex()


def _keyed_digest(salt: bytes, fingerprint_bytes: bytes) -> bytes:
    return hashlib.blake2b(
        fingerprint_bytes, key=salt, digest_size=DIGEST_BYTES
    ).digest()


class KeyRing:
    """Authenticates the key of every request.

    Withdrawals accumulate: a withdrawn key is valid again neither under an
    older document nor under a newer one that lacks the withdrawal.
    """

    def __init__(self, salt: bytes) -> None:
        self._salt = salt
        self._organisations: dict[bytes, ids.OrganisationId] = {}
        self._operators: dict[bytes, ids.OperatorName] = {}
        self._cache: dict[bytes, ids.OrganisationId] = {}
        self._withdrawn: set[ids.KeyId] = set()
        self._bootstrap_operators: dict[bytes, ids.OperatorName] = {}
        self._config = fleetconfig.FleetConfig()

    def load(self, config: fleetconfig.FleetConfig) -> None:
        """Load the keys of a document; an older document is ignored."""
        if config.version < self._config.version:
            return
        self._config = config
        # Withdrawals that the document records need not be kept here.
        self._withdrawn = {
            k for k in self._withdrawn if not config.is_withdrawn(k)
        }
        self._rebuild()

    def withdraw(self, key_id: ids.KeyId) -> bool:
        """Withdraw a key ahead of the document.

        Returns:
            False if the key was withdrawn already.
        """
        if key_id in self._withdrawn or self._config.is_withdrawn(key_id):
            return False
        self._withdrawn.add(key_id)
        self._rebuild()
        return True

    @property
    def pending_withdrawals(self) -> frozenset[ids.KeyId]:
        """Keys withdrawn here that the document still contains."""
        return frozenset(self._withdrawn)

    def authenticate(self, presented: str) -> ids.OrganisationId | None:
        """Return the organisation of a key; None if the key is not valid."""
        if len(presented) > MAX_PRESENTED_CHARS:
            return None
        fingerprint_bytes = _fingerprint(presented)
        found = self._cache.get(fingerprint_bytes)
        if found is not None:
            return found
        # Safe against timing attacks: the look-up time depends only on
        # hashes, and no secret is compared directly.
        found = self._organisations.get(
            _keyed_digest(self._salt, fingerprint_bytes)
        )
        if found is not None:
            if len(self._cache) >= MAX_CACHE_ENTRIES:
                self._cache.clear()
            self._cache[fingerprint_bytes] = found
        return found

    def authenticate_operator(self, presented: str) -> ids.OperatorName | None:
        """Return the operator of a key; None if the key is not valid."""
        if len(presented) > MAX_PRESENTED_CHARS:
            return None
        fingerprint_bytes = _fingerprint(presented)
        return self._operators.get(
            _keyed_digest(self._salt, fingerprint_bytes)
        )

    def set_bootstrap(
        self, name: ids.OperatorName, key_fingerprint: str
    ) -> None:
        """Admit an operator as long as the document has none."""
        digest = bytes.fromhex(self.digest_of(key_fingerprint))
        self._bootstrap_operators = {digest: name}
        self._rebuild()

    def digest_of(self, key_fingerprint: str) -> str:
        """Return the digest that the document stores for a fingerprint."""
        return stored_digest(self._salt, key_fingerprint)

    def _rebuild(self) -> None:
        self._cache.clear()
        self._organisations = {
            bytes.fromhex(key.digest): key.organisation
            for key_id, key in self._config.keys.items()
            if key_id not in self._withdrawn
        }
        # The bootstrap key is valid only for a document without operators.
        self._operators = {
            bytes.fromhex(operator.digest): name
            for name, operator in self._config.operators.items()
        } or self._bootstrap_operators


def key_ring(fleet_secret: bytes) -> KeyRing:
    """Create a key ring without keys, with the fleet's secret."""
    return KeyRing(salt_from(fleet_secret))
