// Package simulator holds fakes of everything outside a controller: a network, the
// state service, the cloud, the workers and the users, and a checker for the
// protocol's rules. A Simulation puts them together around real controllers, and
// its methods inject the faults that tests are about. The fakes are written from
// the protocol's page, not from the controllers' code. Time is whatever the time
// package says, so that tests run in virtual time.
package simulator
