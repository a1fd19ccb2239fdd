"""Adapter to the platform: its store, documents, target calls and headers."""
