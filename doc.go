// Package lilaclead is a cluster scheduler as a library. A [Node] is one controller of a
// deployment: it accepts users' jobs, talks to workers, the cloud, the other controllers
// and a consensus-backed key-value store (the state service), and, while it is the
// leader, decides what runs where.
//
// # Use
//
// [LoadConfig] reads the settings file, [New] builds a Node and [Node.Run] serves until
// its context ends. A process that is a Node and nothing else calls [LimitProcess]
// before. A process that holds a duty of its own (package duty) needs only
// [NewStateServiceClient].
//
// # Units
//
// The settings file's sizes are in megabytes and its durations in seconds or
// milliseconds, as the names of the settings say; inside, durations are time.Duration.
//
// # Errors and retries
//
// LoadConfig, LoadFeatures and New fail on invalid settings, and name every one that is
// wrong; trying again with the same file doesn't help. Run fails with a [ListenError] if
// an address can't be bound, which may be tried again once the address is free, and with
// the server's error if accepting connections fails for good. Services that can't be
// reached aren't errors: a running Node tries them again by itself, and meanwhile answers
// its users 503 with a Retry-After header.
package lilaclead
