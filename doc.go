// Package lilaclead is a cluster scheduler as a library.
//
// A [Node] is one controller of a deployment. It accepts users' jobs and talks to the
// agents, the cloud, the other controllers and the key-value store, which is
// consensus-backed. While it is the leader, it also decides which machine each task runs on.
//
// # Use
//
// [LoadConfig] reads the settings file, [New] builds a Node, and [Node.Run] serves until
// its context ends. A process that runs a Node and nothing else calls [LimitProcess]
// first. A process that runs no Node, but holds a duty of its own (package duty), needs
// only the settings and [NewStateServiceClient].
//
// # Units
//
// The suffix of a setting's name gives its unit: _mb (megabytes) and _kb (kilobytes) for
// sizes, _s (seconds) and _ms (milliseconds) for durations. In the code, durations are
// time.Duration.
//
// # Errors and retries
//
// LoadConfig, LoadFeatures and New return an error that names every invalid setting.
// Retrying with the same file doesn't help.
//
// Run returns a [ListenError] if an address can't be bound; retry once the address is
// free. It returns the server's error if accepting connections fails for good.
//
// An unreachable service is not an error. A running Node retries by itself, and meanwhile
// answers users with status 503 and a Retry-After header.
package lilaclead
