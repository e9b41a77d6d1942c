// Package scenarios contains only tests. They run whole deployments in virtual time: several
// controllers against the simulator, through outages, partitions, late messages, restarts and
// changes of leader. A checker verifies the rules that must always hold.
//
// A test file is named after the fault that its tests inject or the behaviour that they cover.
// Shared code is in the files helpers_*_test.go. A test calls runScenario, or a variant of it,
// with a script that submits jobs and injects faults; every rule is checked when the script ends.
//
// SCENARIO_SEEDS raises the number of seeds of the tests that draw faults at random. With
// SCENARIO_LOG set, the controllers' logs go to standard error.
package scenarios
