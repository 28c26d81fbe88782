"""The scheduler of one host: decides which request goes to which storage node, and when.

It performs no I/O and reads no clock.  `scheduler.Scheduler` takes events and returns actions (both in
`cressrock.interface`).  Its parts, one module each: fair queueing (`fair_queue`), the concurrency limit of an
endpoint (`concurrency_limit`, based on `uncrowded_latency`), outlier ejection (`ejection`), slow start
(`slow_start`), limits and reserves of volumes (`rate_limit`), retries (`retry`), attempts whose response is
presumed lost (`lost_attempts`), per-key ordering (`ordering`), and the choice of the next request
(`dispatch`).
"""
