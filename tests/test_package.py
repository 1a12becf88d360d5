"""The installed package states its version."""

import wasabicross


def test_version_is_told():
    assert wasabicross.__version__.count('.') == 2
