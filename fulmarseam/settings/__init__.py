"""Typed and checked settings, read from one YAML file per program.

A schema is a frozen dataclass whose fields are made by `option`. All errors
of a file are reported together::

    settings = load_settings('entry.yaml', EntrySettings)
"""

from fulmarseam.settings._catalog import CatalogSettings
from fulmarseam.settings._catalog import GatewaySettings
from fulmarseam.settings._catalog import ObjectPlacement
from fulmarseam.settings._control import ControlSettings
from fulmarseam.settings._control import MemberAddress
from fulmarseam.settings._ctl import CtlSettings
from fulmarseam.settings._entry import EntrySettings
from fulmarseam.settings._faultproxy import FaultProxySettings
from fulmarseam.settings._faultproxy import Forward
from fulmarseam.settings._load import LoadPhase
from fulmarseam.settings._load import LoadRoute
from fulmarseam.settings._load import LoadSettings
from fulmarseam.settings._loading import load_settings
from fulmarseam.settings._loading import parse_settings
from fulmarseam.settings._options import address
from fulmarseam.settings._options import boolean
from fulmarseam.settings._options import Check
from fulmarseam.settings._options import choice
from fulmarseam.settings._options import duration
from fulmarseam.settings._options import identifier
from fulmarseam.settings._options import integer
from fulmarseam.settings._options import InvalidValueError
from fulmarseam.settings._options import list_of
from fulmarseam.settings._options import mapping_of
from fulmarseam.settings._options import number
from fulmarseam.settings._options import option
from fulmarseam.settings._options import optional
from fulmarseam.settings._options import section
from fulmarseam.settings._options import text
from fulmarseam.settings._target import ServiceTime
from fulmarseam.settings._target import TargetSettings

__all__ = [
    'CatalogSettings',
    'Check',
    'ControlSettings',
    'CtlSettings',
    'EntrySettings',
    'FaultProxySettings',
    'Forward',
    'GatewaySettings',
    'ObjectPlacement',
    'InvalidValueError',
    'LoadPhase',
    'LoadRoute',
    'LoadSettings',
    'MemberAddress',
    'ServiceTime',
    'TargetSettings',
    'address',
    'boolean',
    'choice',
    'duration',
    'identifier',
    'integer',
    'list_of',
    'load_settings',
    'mapping_of',
    'number',
    'option',
    'optional',
    'parse_settings',
    'section',
    'text',
]
