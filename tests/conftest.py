from hypothesis import settings

# Runs the same examples every time, so that results do not depend on randomness or timing.
settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")
