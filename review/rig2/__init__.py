"""The rig that the scripts of the cases 6 to 10 share."""
