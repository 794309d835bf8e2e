"""Runs an entry instance as `python -m marjoramgrade.platform`."""

import gc
import sys

# Almost nothing that is made while modules load is garbage, so collecting then only
# delays the start.
gc.disable()

from marjoramgrade.platform.daemon import main  # noqa: E402

# Later collections need not look at what the modules hold.
gc.freeze()
gc.enable()

if __name__ == "__main__":
    sys.exit(main())
