//! Outcomes of requests: the life cycle of one request, attempt records for
//! idempotency keys, retry budgets and quarantine of crashing requests.
