// Package intake is the user-facing API of a node: submissions, polls and
// cancellations. Every node serves it, whether it leads or not. What can't be
// served within the time that users wait is refused at once, with Retry-After.
//
// # Consistency of answers
//
// The key-value store is the only source of truth, and a user's next request may
// reach another node. Hence two rules:
//
//   - An answer that can still change is as new as the store was when the request
//     came. A node that answered from an older copy could deny a job that another
//     node has just accepted, or call one queued whose cancellation was confirmed.
//     So a poll waits for a refresh of store.JobCache that begins after it came.
//     If the store can't be read, or a record can't be decoded, the answer is 503,
//     never 404: 404 says that no such job was ever accepted.
//   - A final state (done, cancelled) never changes. It is remembered and answered
//     without the store, also during an outage.
//
// A job that ends has its live record replaced by a final one in one transaction.
// Readers look up the live record first and the final one next, so they can't
// miss both. Only the numbers of running and done tasks may be older: they are for
// display.
//
// # Idempotent requests
//
// Users repeat a request whose answer they did not get, at any node.
//
//   - A submission is identified by the job ID that the user chose. Its record is
//     created by a compare-and-swap which requires that neither a live nor a final
//     record exists. So at most one of all repetitions creates the job (201), and
//     the others are answered with its status (200). When the outcome of the
//     transaction is unknown, the answer is 503; the repetition finds out. A job
//     that was accepted stays so: a repetition is not rejected because team limits,
//     machine types or the size of a record have changed since.
//   - A cancellation replaces the record that it has read by a compare-and-swap on
//     its revision, and reads again if it lost the race. It answers with the final
//     status, and so does every repetition: for a job that was done before, that is
//     "done".
package intake
