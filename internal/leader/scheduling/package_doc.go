// Package scheduling decides what starts where, and how many machines are wanted.
package scheduling
