"""The versioned configuration document of the fleet, set by operators."""

import enum
import functools
import typing

import expression
import msgspec

from parsleystile import _routes
from parsleystile import context
from parsleystile import errors
from parsleystile import ids
from parsleystile import objectives as service_levels

PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
# Scheduling divides by weights, so they must be neither tiny nor huge.
Weight = typing.Annotated[float, msgspec.Meta(ge=0.001, le=1000)]
# Keyed digests are 32 bytes, written in hex.
Digest = typing.Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]
Name = typing.Annotated[
    str, msgspec.Meta(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$')
]
Method = typing.Annotated[str, msgspec.Meta(pattern='^[A-Z]{1,16}$')]
Ratio = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class ImportanceName(enum.Enum):
    """Importance classes as operators write them."""

    CRITICAL = 'critical'
    NORMAL = 'normal'
    SHEDDABLE = 'sheddable'


IMPORTANCE_CLASSES = {
    ImportanceName.CRITICAL: context.Importance.CRITICAL,
    ImportanceName.NORMAL: context.Importance.NORMAL,
    ImportanceName.SHEDDABLE: context.Importance.SHEDDABLE,
}


class Organisation(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """An organisation and its fleet-wide limits.

    Attributes:
        rate_per_s: Root requests per second across the whole fleet.
        burst: Root requests that may arrive at once after an idle period.
        weight: Share of slots under contention, relative to others.
    """

    rate_per_s: PositiveFloat
    burst: PositiveInt
    weight: Weight = 1.0


class Route(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """How calls under one path prefix are treated.

    Attributes:
        path_prefix: Prefix in whole path segments; the longest match wins.
        service: Service whose targets answer.
        methods: HTTP methods; empty for all.
        is_open: Served without a key.
        importance: Class of root requests on this route.
        is_idempotent: Whether a call may run more than once.
        timeout_ms: Longest deadline that a caller may ask for.
    """

    path_prefix: str
    service: Name
    methods: tuple[Method, ...] = ()
    is_open: bool = False
    importance: ImportanceName = ImportanceName.NORMAL
    is_idempotent: bool = False
    timeout_ms: PositiveInt = 2000


class Preset(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings that operators switch between, such as for peak days.

    Attributes:
        admission_level: Upper bound of the admission level; at 3.0 nothing
            is shed ahead of an overload.
        retry_allowance: Retries for the whole call tree of a root request.
        rate_factor: Multiplies every organisation's rate.
    """

    admission_level: typing.Annotated[float, msgspec.Meta(ge=0, le=3)] = 3.0
    retry_allowance: typing.Annotated[int, msgspec.Meta(ge=0, le=100)] = 2
    rate_factor: Ratio = 1.0


class Key(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A key in force; withdrawing it removes the entry permanently.

    Attributes:
        organisation: Organisation that the bearer of the key belongs to.
        digest: Keyed digest of the key, in hex; see ``keys``.
    """

    organisation: ids.OrganisationId
    digest: Digest


class Operator(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """A person who may change this document.

    Attributes:
        digest: Keyed digest of the operator's key, in hex.
    """

    digest: Digest


def _default_presets() -> dict[ids.PresetName, Preset]:
    return {
        ids.PresetName('ordinary'): Preset(),
        ids.PresetName('peak'): Preset(retry_allowance=1),
        ids.PresetName('maintenance'): Preset(
            admission_level=2.0, retry_allowance=1
        ),
    }


class FleetConfig(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
    dict=True,
):
    """The document. The table holds exactly one; its version only increases.

    Attributes:
        next_key: Number of the next key id. A lower id that is not in
            ``keys`` was withdrawn; since the number only increases, no
            tombstones need to be stored.
    """

    version: ids.ConfigVersion = ids.ConfigVersion(0)
    active_preset: ids.PresetName = ids.PresetName('ordinary')
    presets: dict[ids.PresetName, Preset] = msgspec.field(
        default_factory=_default_presets
    )
    organisations: dict[ids.OrganisationId, Organisation] = {}
    routes: dict[ids.RouteId, Route] = {}
    keys: dict[ids.KeyId, Key] = {}
    next_key: PositiveInt = 1
    operators: dict[ids.OperatorName, Operator] = {}
    domains_out: tuple[ids.FailureDomainId, ...] = ()
    objectives: service_levels.Objectives = service_levels.Objectives()

    @functools.cached_property
    def _route_index(self) -> _routes.RouteIndex[tuple[ids.RouteId, Route]]:
        return _routes.route_index(
            (prefix, r.methods, (route_id, r))
            for route_id, r in self.routes.items()
            if (prefix := _routes.segment_prefix(r.path_prefix)) is not None
        )

    @property
    def preset(self) -> Preset:
        """The preset in force."""
        return self.presets[self.active_preset]

    def match_route(
        self, method: str, path: str
    ) -> tuple[ids.RouteId, Route] | None:
        """Return the route of a request; None if there is none.

        The longest matching prefix decides: if its routes lack the method,
        shorter prefixes are not tried. Ambiguous paths (dot segments, empty
        segments, escaped separators) match nothing, since a target might
        resolve them to a path of another route.

        Args:
            method: HTTP method in capitals.
            path: Path of the request target, with or without a query.
        """
        looked_up = _routes.segment_path(path)
        if looked_up is None:
            return None
        return self._route_index.match(method, looked_up)

    def is_withdrawn(self, key_id: ids.KeyId) -> bool:
        """Return whether a key was issued and later withdrawn."""
        number = key_number(key_id)
        return 0 < number < self.next_key and key_id not in self.keys


def key_id_of(number: int) -> ids.KeyId:
    """Return the id of the key with this number."""
    return ids.KeyId(f'k{number}')


def key_number(key_id: ids.KeyId) -> int:
    """Return the number in a key id; 0 if the id is malformed."""
    digits = key_id[1:]
    if key_id[:1] != 'k' or not digits.isascii() or not digits.isdigit():
        return 0
    # A leading zero would give one key two ids.
    return 0 if digits[0] == '0' else int(digits)


def check(config: FleetConfig) -> errors.SettingsError | None:
    """Check constraints that types cannot express; return the first error."""
    if config.active_preset not in config.presets:
        return errors.SettingsError(
            'active_preset', f'no preset {config.active_preset!r}'
        )
    return _check_routes(config) or _check_keys(config)


def _check_routes(config: FleetConfig) -> errors.SettingsError | None:
    owners: dict[tuple[str, str], str] = {}
    for route_id, route in config.routes.items():
        path = f'routes.{route_id}'
        prefix = _routes.segment_prefix(route.path_prefix)
        if prefix is None:
            return errors.SettingsError(
                f'{path}.path_prefix',
                f'{route.path_prefix!r} is no plain absolute path',
            )
        for method in route.methods or ('*',):
            owner = owners.setdefault((prefix, method), route_id)
            if owner != route_id:
                return errors.SettingsError(
                    f'{path}.path_prefix',
                    f'{route.path_prefix!r} is taken by route {owner!r}',
                )
    return None


def _check_keys(config: FleetConfig) -> errors.SettingsError | None:
    seen: dict[str, str] = {}
    for key_id, key in config.keys.items():
        if not 0 < key_number(key_id) < config.next_key:
            return errors.SettingsError(
                f'keys.{key_id}',
                f'{key_id!r} is no key id below {config.next_key}',
            )
        if key.organisation not in config.organisations:
            return errors.SettingsError(
                f'keys.{key_id}.organisation',
                f'no organisation {key.organisation!r}',
            )
        if seen.setdefault(key.digest, key_id) != key_id:
            return errors.SettingsError(
                f'keys.{key_id}.digest', f'same key as {seen[key.digest]!r}'
            )
    return None


def encode(config: FleetConfig) -> bytes:
    """Return the document as JSON."""
    return msgspec.json.encode(config)


def decode(
    data: bytes,
) -> expression.Result[FleetConfig, errors.SettingsError]:
    """Decode a document from JSON and check it."""
    try:
        config = msgspec.json.decode(data, type=FleetConfig)
    except msgspec.MsgspecError as exc:
        return expression.Error(errors.settings_error(exc, 'document'))
    fault = check(config)
    return expression.Error(fault) if fault else expression.Ok(config)
