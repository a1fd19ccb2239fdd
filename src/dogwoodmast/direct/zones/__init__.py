"""Decisions about availability zones and regions."""
