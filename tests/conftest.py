"""Hypothesis profiles for all tests."""

from __future__ import annotations

import os

from hypothesis import settings

# Derandomized, so that test results are reproducible.
settings.register_profile("ci", derandomize=True, deadline=None, max_examples=100)
settings.register_profile("fuzz", deadline=None, max_examples=5000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
