"""The view: the accepted configuration and the roster, and how fresh they are."""
