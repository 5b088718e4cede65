"""Runs one program on the platform: ``python -m ragwortlug.platform ROLE``."""

import gc
import sys

from ragwortlug.early_signals import hold_signals

early_signals = hold_signals()

# Importing creates many objects and drops few, so collections would only delay the
# start. `ragwortlug.daemon.serve` enables them again.
gc.disable()

from ragwortlug.platform.program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(early_signals=early_signals))
