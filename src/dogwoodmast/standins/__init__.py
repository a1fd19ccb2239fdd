"""Stand-ins for the external systems of the router.

They replace the platform, its VM list and back-end servers in tests,
benchmarks and local fleets.
"""
