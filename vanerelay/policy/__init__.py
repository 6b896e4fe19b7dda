"""The policy: decides which query runs on which engine, when, with how much memory, and which are rejected.

`gateway` holds the main path of a query. Each other module covers one concern, with the tuned values of that
concern as constants. Times and durations are in ticks of 0.1 ms, memory is in MB. The policy does no I/O and
reads no clock, and its only random generator is seeded by the caller.

Doc comments refer to these rules by number:

1. Each query gets one final answer, before its deadline.
2. A query that is not idempotent is sent again only if it cannot take effect twice.
3. No new query is sent to an engine that drains or has left the engine list.
4. An engine in its slow start is not overloaded.
5. Queries of an ordered service class that share an order key run one at a time, in the order submitted.
6. Queries stay on the engines that their service class allows.
7. Attempts beyond the first of each query stay within the retry budget.
"""
