// Package duty lets one process at a time carry out a duty, such as scaling out or
// scaling in, and makes sure that what a replaced holder still has on its way does no
// harm when it arrives.
//
// It is built on a consensus-backed key-value store with expiring grants and
// compare-and-swap transactions ([Store]):
//
//   - A [Candidate] campaigns for a lease: a key of the store that is bound to a grant.
//   - The [Lease] belongs to one candidate at a time. The revision of its key is the
//     fencing token, which only grows. Its holder stops before the lease can expire.
//   - A [Permit] is the right to one act of a duty. Only a lease that is certainly held
//     yields one.
//   - [Intents] record what the holder is about to request of a receiver that checks no
//     fencing tokens, so that a successor repeats the same requests under the same names.
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
// Errors are met with errors.Is and errors.As:
//
//   - [ErrNotHeld], [ErrHeldByOther], [ErrNoHolder] and [ErrGrantExpired], wrapped in a
//     [LeaseError], mean that this lease gives no right to act. Retrying under the same
//     lease is of no use: campaign again.
//   - [ErrRefused] means that a request was certainly not executed. Retry it after a pause.
//   - [ErrOutcomeUnknown] means that a change may have been executed, or still may be.
//     Read what it wrote before deciding whether to retry. Acquiring, raising the token
//     and recording intents do this by themselves.
//   - [ConflictError] means that a condition of a transaction failed and nothing was
//     written. Read again, then decide anew. When it names the lease's key, another
//     process holds the lease or the token was raised.
//   - [ErrUndecodable], wrapped in an [UndecodableError], needs a person: the record is
//     never overwritten, and what rests on it is refused.
//   - [ErrIntentsTooLarge] calls for fewer intents at a time.
//   - [ErrNoPermit] is a fault of the program: the permit is the zero value, or intents
//     were recorded before the earlier ones were loaded.
package duty
