"""The control process: its life cycle, and what its leader does in office."""
