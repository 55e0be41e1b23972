"""Client for ZooKeeper's wire protocol: records, a session without I/O, a view of one directory, and a transport."""
