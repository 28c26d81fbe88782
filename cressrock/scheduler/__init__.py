"""The scheduler of one host: which request goes to which storage node, and when.  Pure: no clock, no bytes.

`scheduler.Scheduler` takes events and returns actions (both in `cressrock.interface`).  Its parts, one module
each: the queues and their tags (`fair_queue`), how many requests may be out at an endpoint
(`concurrency_limit`, over `uncrowded_latency`), endpoints that are on trial (`ejection`) or warming up
(`slow_start`), limits and reserves of volumes (`rate_limit`), retries (`retry`), attempts whose answer is
presumed lost (`lost_attempts`), order per key (`ordering`), and which request leaves next (`dispatch`).
"""
