// Package progress writes the jobs' progress to the state service, and reads it for a new leader.
package progress
