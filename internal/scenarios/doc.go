// Package scenarios holds tests that play whole deployments in virtual time:
// several controllers against the simulator, through outages, partitions, late
// messages, restarts and changes of leader, with a checker for the rules. It has
// no code of its own.
package scenarios
