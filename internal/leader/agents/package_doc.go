// Package agents sends commands and probes to the agents on the machines.
package agents
