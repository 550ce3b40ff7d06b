"""The entry process of deployments that route hosts and paths to services.

A request passes through unchanged but for the headers that the system sets;
what it is, whose it is and how long it may take is read from headers whose
names the settings give.
"""
