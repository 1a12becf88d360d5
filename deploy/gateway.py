"""Run the gateway from a checkout, without installing the package."""

import os
import sys

# `pathlib` would take some of the time in which a signal isn't handled yet.
_ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(_ROOT, 'src'))

from wasabicross.programs.start_gateway import main  # noqa: E402

if __name__ == '__main__':
    main()
