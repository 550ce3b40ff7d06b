"""A model of engines under callers, to try policies in seconds."""
