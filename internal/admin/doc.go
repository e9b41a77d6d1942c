// Package admin is the operator-facing API of a node, served on the address that
// peers use: the operators' settings, the status of the node and its metrics.
//
// The operators' settings (package tuning) are one record of the key-value store.
// A change names the revision that it is based on and is stored by a compare-and-swap,
// so that two operators can't overwrite each other's change unseen. Every node reads
// the record every few seconds and applies it without a restart.
package admin
