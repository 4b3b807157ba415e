"""The objects that the forwarding of requests uses."""

from collections.abc import Callable
from typing import NamedTuple

from fulmarseam import catalog
from fulmarseam import http
from fulmarseam import ids
from fulmarseam import quarantine
from fulmarseam import telemetry
from fulmarseam.gateway import _http_names
from fulmarseam.gateway import _load_balancer
from fulmarseam.gateway import _organisations
from fulmarseam.gateway import _pauses
from fulmarseam.gateway import _permits
from fulmarseam.gateway import _quotas
from fulmarseam.gateway import _rate_limits
from fulmarseam.gateway import _relaying
from fulmarseam.gateway import _routes


class Dependencies(NamedTuple):
    """The objects that a forwarder uses."""

    mirror: catalog.CatalogMirror
    routes: _routes.RouteTable
    organisations: _organisations.OrganisationGuard
    load_balancer: _load_balancer.LoadBalancer
    rate_limits: _rate_limits.RateLimits
    permits: _permits.PermitClient[ids.TargetId, bool]
    quotas: _quotas.QuotaGate
    target_pools: http.TargetPools
    http_names: _http_names.HttpNames
    metrics: telemetry.Metrics
    request_log: telemetry.RequestLog
    pause_guard: _pauses.PauseGuard
    crash_guard: quarantine.CrashGuard
    relayer: _relaying.Relayer
    count_active: Callable[[], int]
