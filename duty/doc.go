// Package duty ensures that one process at a time carries out a duty, such as scaling out
// or scaling in. Requests of a replaced holder that arrive late do no harm.
//
// It is built on a consensus-backed key-value store with expiring grants and
// compare-and-swap transactions ([Store]):
//
//   - A [Candidate] campaigns for a lease: a key of the store that is bound to a grant.
//   - The [Lease] belongs to one candidate at a time. The revision of its key is the
//     fencing token, which only grows. The holder stops acting before the lease can
//     expire.
//   - A [Permit] is the right to carry out one act of a duty. Only a lease that is
//     certainly held yields one: by the holder's clock, with an allowance for clock drift
//     and scheduling delays, the store can't have ended its grant yet.
//   - [Intents] record which requests the holder is about to send to a receiver that
//     doesn't check fencing tokens. A successor repeats the same requests under the same
//     names.
//
// docs/duties.md gives the reasons.
//
// # Units
//
// All durations are time.Duration; [Timing.Drift] is a fraction (0.02: 2%). Sizes are in
// bytes. Events and records carry the time of the [Clock] of the process.
//
// # Errors and retries
//
// Match errors with errors.Is and errors.As:
//
//   - [ErrNotHeld], [ErrHeldByOther], [ErrNoHolder] and [ErrGrantExpired], wrapped in a
//     [LeaseError], mean that this lease gives no right to act. Retrying under the same
//     lease is of no use: campaign again.
//   - [ErrRefused] means that a request was certainly not executed. Retry it after a pause.
//   - [ErrOutcomeUnknown] means that a change may have been executed, or still may be.
//     Read the keys that it writes before deciding whether to retry. The package itself
//     does so when it acquires a lease, raises its token or records intents.
//   - [ConflictError] means that a guard of a transaction failed and nothing was written.
//     Read the keys again before deciding what to do. If it names the lease's key, another
//     process holds the lease, or the token was raised.
//   - [ErrUndecodable], wrapped in an [UndecodableError], needs an operator: the record is
//     never overwritten, and every operation that depends on it is refused.
//   - [ErrIntentsTooLarge] means that fewer intents must be open at a time.
//   - [ErrNoPermit] is a programming error: the permit is the zero value, or intents were
//     recorded before those of an earlier holder were loaded.
package duty
