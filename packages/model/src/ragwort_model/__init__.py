"""Data model of a deployment: routes, servers, nodes and settings."""

from ragwort_model._configuration import (
    CallerLimits,
    ColdStart,
    Configuration,
    ConfigurationVersion,
    Customer,
    Route,
    RouteName,
    WeightedService,
)
from ragwort_model._crash import CrashId, CrashRecord
from ragwort_model._input_error import InputError
from ragwort_model._instance import Departure, Heartbeat, InstanceId, InstanceState, Leaving
from ragwort_model._node import Addresses, Bounds, NodeRecord, NodeSettings, is_address
from ragwort_model._routing import FindRoute, build_route_finder
from ragwort_model._store_error import ErrorKind, StoreError

__all__ = [
    "Addresses",
    "Bounds",
    "CallerLimits",
    "ColdStart",
    "Configuration",
    "ConfigurationVersion",
    "CrashId",
    "CrashRecord",
    "Customer",
    "Departure",
    "ErrorKind",
    "FindRoute",
    "Heartbeat",
    "InputError",
    "InstanceId",
    "InstanceState",
    "Leaving",
    "NodeRecord",
    "NodeSettings",
    "Route",
    "RouteName",
    "StoreError",
    "WeightedService",
    "build_route_finder",
    "is_address",
]
