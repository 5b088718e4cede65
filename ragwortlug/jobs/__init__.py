"""Job ids, homes, records and answers: logic without sockets or clocks."""
