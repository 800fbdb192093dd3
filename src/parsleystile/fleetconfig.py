"""The one versioned document that operators change: the fleet's settings."""

import enum
import typing

import msgspec

from parsleystile import ids

PositiveInt = typing.Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = typing.Annotated[float, msgspec.Meta(gt=0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]


class ImportanceName(enum.Enum):
    """Importance classes as operators write them."""

    CRITICAL = 'critical'
    NORMAL = 'normal'
    SHEDDABLE = 'sheddable'


class Organisation(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """An organisation and its fleet-wide limits.

    Attributes:
        rate_per_s: Root requests a second across the whole fleet.
        burst: Root requests that may come at once after a quiet time.
        weight: Share of slots under contention, relative to others.
    """

    rate_per_s: PositiveFloat
    burst: PositiveInt
    weight: PositiveFloat = 1.0


class Route(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """How calls under one path prefix are treated.

    Attributes:
        path_prefix: Longest match wins, on segment borders.
        service: Service whose targets answer.
        methods: HTTP methods; empty for all.
        is_open: Served without a key.
        importance: Class of root requests on this route.
        is_idempotent: Whether a call may run more than once.
        timeout_ms: Longest deadline that a caller may ask for.
    """

    path_prefix: str
    service: ids.ServiceName
    methods: tuple[str, ...] = ()
    is_open: bool = False
    importance: ImportanceName = ImportanceName.NORMAL
    is_idempotent: bool = False
    timeout_ms: PositiveInt = 2000


class Preset(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """What operators switch between as the calendar demands.

    Attributes:
        admission_level: Highest level in force; 3.0 sheds nothing ahead.
        retry_allowance: Retries for the whole tree of a root request.
        rate_factor: Multiplies every organisation's rate.
    """

    admission_level: typing.Annotated[float, msgspec.Meta(ge=0, le=3)] = 3.0
    retry_allowance: typing.Annotated[int, msgspec.Meta(ge=0, le=100)] = 2
    rate_factor: Share = 1.0


class FleetConfig(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The document; the table holds exactly one, its version only grows."""

    version: ids.ConfigVersion = ids.ConfigVersion(0)
    active_preset: ids.PresetName = ids.PresetName('ordinary')
    presets: dict[ids.PresetName, Preset] = {}
    organisations: dict[ids.OrganisationId, Organisation] = {}
    routes: dict[ids.RouteId, Route] = {}
    domains_out: tuple[ids.FailureDomainId, ...] = ()
