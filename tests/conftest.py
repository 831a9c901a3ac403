from hypothesis import settings

# The same examples on every run, so that a verdict never depends on luck or on the clock.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
