"""Decisions alone, on models of callers and replicas in one process."""
