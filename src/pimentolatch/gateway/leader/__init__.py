"""Work of the one instance that is the leader: the election, orders and reports."""
