"""Runs the command line as ``python -m ragwortlug``."""

import sys

from ragwortlug.cli import main

sys.exit(main())
