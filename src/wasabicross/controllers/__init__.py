"""The parts of a controller."""
