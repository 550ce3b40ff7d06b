"""A model-aware router for versions and cascades.

The package holds two programs behind one command: ``snipebridge entry``
answers callers and ``snipebridge control`` keeps the replicated state.
"""

__version__ = '0.1.0'
