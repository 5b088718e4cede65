"""Jobs: ids, homes, records and answers; decisions without sockets or clocks."""
