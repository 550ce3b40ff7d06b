"""Routes from host and path to services, and who may use them.

A deployment that routes to plain services and engines by host and path is
configured by complete documents with a version, in addition to the numbered
configuration of models and versions.
"""
