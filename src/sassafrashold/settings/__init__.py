"""Settings in INI files, read into frozen data classes and checked."""

from sassafrashold.settings._loader import Address
from sassafrashold.settings._loader import load
from sassafrashold.settings._loader import option

__all__ = ["Address", "load", "option"]
