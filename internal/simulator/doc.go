// Package simulator provides fakes of everything outside a controller: a network, the
// key-value store, the cloud, the machines' agents and the users, and a checker of the
// protocol's rules. A Simulation runs them around real controllers, and its methods
// inject faults. The fakes are written from the protocol's specification, not from the
// controllers' code, so that a mistake there is not repeated here. All times come from
// the time package, so that tests can run in virtual time.
package simulator
