"""Slopes of cost by size, measured, and what they come to at the target."""
