"""Routes, upstreams and batch jobs without I/O: the policy of serving."""
