"""Bytes of requests and responses that an entry VM holds in memory."""
