"""Settings files: Jsonnet, evaluated and validated into immutable types."""

from cressrock.settings.load import SettingsError, evaluate, load
from cressrock.settings.types import Gateway

__all__ = ["Gateway", "SettingsError", "evaluate", "load"]
