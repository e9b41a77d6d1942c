// Package cluster holds the in-memory model of jobs and machines of one term of leadership.
package cluster
