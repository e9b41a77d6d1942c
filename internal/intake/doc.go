// Package intake is the user-facing API of a node: submissions, polls and
// cancellations. Every node serves it, whether it is the leader or not. A request that
// can't be served within the time for which users wait is refused at once, with
// Retry-After.
//
// # Consistency of responses
//
// The key-value store is the only source of truth, and a user's next request may
// reach another node. Hence two rules:
//
//   - A state that can still change is reported as it was in the store when the
//     request arrived, or later. With an older copy, a node could deny a job that
//     another node has just accepted, or report a job as queued after its cancellation
//     was confirmed. So a poll waits for a refresh of store.JobCache that begins after
//     the poll arrived. If the store can't be read, or a record can't be decoded, the
//     response is 503, never 404: 404 says that no such job was ever accepted.
//   - A final state (done, cancelled) never changes. A node remembers it and reports it
//     without reading the store, also during an outage of the store.
//
// When a job ends, one transaction replaces its live record by a final one. Readers look
// up the live record first and the final one next, so they can't miss both. Only the
// numbers of running and done tasks may be older: they are for display.
//
// # Idempotent requests
//
// Users repeat a request whose response they did not get, at any node.
//
//   - A submission is identified by the job ID that the user chose. Its record is
//     created by a compare-and-swap which requires that neither a live nor a final
//     record exists. So at most one of all repetitions creates the job (201), and
//     the others get the job's status (200). If the outcome of the transaction is
//     unknown, the response is 503, and a repetition gets the outcome. An accepted job
//     stays accepted: a repetition is not rejected because team limits, machine types
//     or the limit on the size of a record have changed since.
//   - A cancellation replaces the record that it has read by a compare-and-swap on
//     its revision. If the record has changed in between, it is read again. The
//     response is the job's final status, also for every repetition: "done" for a job
//     that was done before.
package intake
