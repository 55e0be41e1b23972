"""HTTP/1.1: parsing requests and responses, and the connections to callers and backends."""
