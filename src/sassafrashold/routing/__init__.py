"""The route configuration and the selection of a route for a request."""

from sassafrashold.routing._configuration import ClientLimits
from sassafrashold.routing._configuration import Configuration
from sassafrashold.routing._configuration import Gather
from sassafrashold.routing._configuration import Route
from sassafrashold.routing._configuration import ServiceLimits
from sassafrashold.routing._configuration import SingleService
from sassafrashold.routing._configuration import SplitTraffic
from sassafrashold.routing._configuration import Target
from sassafrashold.routing._configuration import WeightedService
from sassafrashold.routing._split import WeightedRotation
from sassafrashold.routing._table import RouteTable

__all__ = [
    "ClientLimits",
    "Configuration",
    "Gather",
    "Route",
    "RouteTable",
    "ServiceLimits",
    "SingleService",
    "SplitTraffic",
    "Target",
    "WeightedRotation",
    "WeightedService",
]
