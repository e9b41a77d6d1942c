package lilaclead

import (
	"fmt"
	"math"

	"lilaclead/internal/config"
)

// socketBudget is the split of a process's limit of sockets.
type socketBudget struct {
	accepted int // from workers, users and health checks
	direct   int // to workers, for commands
	internal int // to state service, cloud and the other controllers, and to spare
	// memoryNeeded is the memory that the limit's connections take, in megabytes.
	memoryNeeded float64
}

const (
	// usersShare is the part of the accepted connections that is not counted on
	// for workers.
	usersShare = 0.1
	// baseMB and connectionMB are the memory of a process by itself, and of each
	// connection with the state of the machine behind it. Measured at 1.5 times the
	// largest deployment: 165 MB with 3,400 connections, 217 MB with 4,296, 12 MB
	// with 120.
	baseMB       = 12
	connectionMB = 0.048
	// memoryShare is the part of memory_mb that is planned for.
	memoryShare = 0.9
	// maxByMemory caps the connections that fit into the memory, since an infinite
	// memory is no int.
	maxByMemory = 1e9

	// minSockets is the least fd_limit that the settings allow.
	minSockets = 64
	// minAccepted and minDirect keep a controller with a tiny limit working.
	minAccepted = 16
	minDirect   = 16
	// directDivisor gives a sixth of what is left after the internal sockets to
	// commands, which share their sockets.
	directDivisor = 6

	// The internal sockets: state service and cloud; a stream each way to every
	// other controller and as much again while they are opened anew; both
	// listeners; a spare for what is being closed.
	stateSockets    = 16
	cloudSockets    = 4
	socketsPerPeer  = 4
	listenerSockets = 2
	spareSockets    = 16
	// internalDivisor bounds them by a third of a small limit.
	internalDivisor = 3
)

// splitSockets splits the limit for a deployment of so many nodes. One node may be left
// with every worker: each holds one accepted connection, and commands need a few more at
// a time.
func splitSockets(limits config.ProcessLimits, nodes int) socketBudget {
	limit := max(minSockets, min(limits.FDLimit, connectionsInMemory(limits.MemoryMB)))
	internal := min(limit/internalDivisor, internalSockets(nodes))
	direct := max(minDirect, (limit-internal)/directDivisor)
	return socketBudget{
		accepted:     max(minAccepted, limit-internal-direct),
		direct:       direct,
		internal:     internal,
		memoryNeeded: (baseMB + connectionMB*float64(limits.FDLimit)) / memoryShare,
	}
}

// connectionsInMemory returns how many connections fit into the memory.
func connectionsInMemory(memoryMB float64) int {
	return int(min(maxByMemory, (memoryMB*memoryShare-baseMB)/connectionMB))
}

// internalSockets returns how many sockets a node needs besides workers' and users'.
func internalSockets(nodes int) int {
	return stateSockets + cloudSockets + socketsPerPeer*(nodes-1) + listenerSockets + spareSockets
}

// workers returns how many workers one node can hold alone.
func (b socketBudget) workers() int { return int(float64(b.accepted) * (1 - usersShare)) }

// searchDivisor is the precision of socketsNeeded: the limit is raised in steps of 2%.
const searchDivisor = 50

// socketsNeeded returns the limit that so many workers would need, to 2%.
func socketsNeeded(workers int, limits config.ProcessLimits, nodes int) int {
	limits.MemoryMB = math.Inf(1)
	limits.FDLimit = workers
	for splitSockets(limits, nodes).workers() < workers {
		limits.FDLimit += max(1, limits.FDLimit/searchDivisor)
	}
	return limits.FDLimit
}

// String returns the split as it is logged.
func (b socketBudget) String() string {
	return fmt.Sprintf("%d accepted, %d to workers, %d of its own", b.accepted, b.direct, b.internal)
}
