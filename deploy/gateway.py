"""Run the gateway from a checkout, without installing the package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / 'src'))

from wasabicross.programs.run_gateway import main  # noqa: E402

if __name__ == '__main__':
    main()
