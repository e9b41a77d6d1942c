// Package upgrade determines which version of the behaviour is active in a deployment
// whose controllers are upgraded one at a time, and switches to the next version once
// every controller supports it.
//
// Each process of a controller runs a [Member], which publishes the range of versions that
// it supports before the process serves. The active version is a record in the key-value
// store. The holder of a lease raises it with [Member.Advance], in one compare-and-swap
// transaction, once every configured controller has published support for the next
// version. Code whose writes depend on the version reads the active one for each write:
// with [Member.ActiveVersion], or with [Member.ActiveVersionGuard] where no lease orders
// the writes.
//
// docs/upgrades.md gives the reasons.
//
// # Units
//
// A [Version] is a number without a unit; 0 stands for unknown, or for no limit.
// Durations are time.Duration.
//
// # Errors and retries
//
// Errors are matched with errors.Is and errors.As:
//
//   - [ErrActiveUnknown] and [ErrNotPublished] are temporary: they end once the store
//     responds. Check again later.
//   - [ErrProgramTooOld] and [ErrProgramTooNew], wrapped in an [UnsupportedVersionError],
//     last as long as the version is active: start a program that supports it. After
//     ErrProgramTooNew, a switch to a version that this program supports helps too.
//   - [ErrProcessReplaced] is permanent for this process: another process has published
//     under its controller's name.
//   - [ErrUndecodable], wrapped in an [UndecodableError], needs an operator, since the
//     record is never overwritten.
//   - [ErrNotReady] means that a controller or the operators' limit blocks the next
//     version, or that there is none. Retry later; [Member.ReadStatus] shows what blocks it.
//   - duty.ErrRefused means that the store was unavailable or a rate limit was reached, and
//     nothing was written. Retry after a pause.
//   - duty.ErrOutcomeUnknown from [Member.Advance] means that the switch may have been made.
//     A *duty.ConflictError means that it was not, because a record that the decision
//     depends on has changed. In both cases retry: Advance reads all records again.
package upgrade
