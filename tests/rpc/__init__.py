"""Tests of the channels and servers between our own processes."""
