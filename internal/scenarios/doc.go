// Package scenarios holds tests that run whole deployments in virtual time:
// several controllers against the simulator, through outages, partitions, late
// messages, restarts and changes of leader, with a checker for the rules. It has
// no code of its own.
//
// A test file is named after the failure that its tests cause or the duty that
// they test; what they share is in the files helpers_*. A test calls runScenario,
// or a variant of it, with a script that submits jobs and injects faults; every
// rule is checked at its end. SCENARIO_SEEDS asks for more seeds of the tests that
// draw faults at random, SCENARIO_LOG shows the controllers' logs.
package scenarios
