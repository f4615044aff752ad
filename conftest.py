"""Loads a hypothesis profile with which every run draws the same examples."""

import hypothesis

hypothesis.settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    print_blob=False,
)
hypothesis.settings.load_profile('fixed')
