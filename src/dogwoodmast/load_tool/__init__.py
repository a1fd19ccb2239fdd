"""Open-loop load generator that measures latencies and outcomes.

Requests start at planned times, whether or not earlier ones have completed.
"""
