"""Actions of operators on bundles, and their administration API."""
