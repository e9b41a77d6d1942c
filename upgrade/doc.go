// Package upgrade determines which version of the behaviour is active in a deployment
// whose controllers are upgraded one at a time, and switches to the next version once
// every controller supports it.
//
// Each process of a controller runs a [Member]. It publishes the range of versions that
// it supports before it serves. The active version is a record in the key-value store; it
// moves up by one compare-and-swap transaction, which the holder of a lease makes with
// [Member.Advance], and only once every configured controller has published support for
// the next version. Code whose writes depend on the version asks for the active one when
// it writes: [Member.ActiveVersion], or [Member.ActiveVersionGuard] where no lease orders the
// writes.
//
// docs/upgrades.md gives the reasons.
//
// # Units
//
// A [Version] is a plain number without units; 0 stands for unknown, or for no limit.
// Durations are time.Duration.
//
// # Errors and retries
//
// Errors are met with errors.Is and errors.As:
//
//   - [ErrActiveUnknown] and [ErrNotPublished] pass by themselves, once the store answers. Ask
//     again.
//   - [ErrProgramTooOld] and [ErrProgramTooNew], wrapped in an [UnsupportedVersionError], are final for
//     this program: another program, or a switch, has to come first.
//   - [ErrProcessReplaced] is final for this process: another one has its controller's name.
//   - [ErrUndecodable], wrapped in an [UndecodableError], needs a person: the record is
//     never overwritten.
//   - [ErrNotReady] says that a controller, or the operators, hold the next version up.
//     Try again later; the status names who does.
//   - duty.ErrRefused says that the store was away, and nothing was written. Try again after
//     a pause.
//   - duty.ErrOutcomeUnknown of [Member.Advance] leaves open whether the switch was made,
//     and a *duty.ConflictError says that it was not, since something has changed that it
//     rests on. In both cases call it again: it reads all records anew.
package upgrade
