package lilaclead

import (
	"fmt"
	"math"

	"lilaclead/internal/config"
)

// socketBudget is how a process's limit of sockets is split.
type socketBudget struct {
	accepted int // from workers, users and health checks
	direct   int // to workers, for commands
	internal int // to state service, cloud and the other controllers, and to spare
	// memoryNeeded is what that many connections take, in MB.
	memoryNeeded float64
}

const (
	// usersShare is the part of the accepted connections that is not counted on
	// for workers.
	usersShare = 0.1
	// baseMB and connectionMB are what a process takes by itself, and for each
	// connection with what is known of the machine behind it. Measured at 1.5
	// times the largest deployment: 165 MB with 3,400 connections, 217 MB with
	// 4,296, 12 MB with 120.
	baseMB       = 12
	connectionMB = 0.048
	// memoryShare is the part of memory_mb that is planned for.
	memoryShare = 0.9

	// minSockets is the least fd_limit that the settings allow.
	minSockets = 64
	// minAccepted and minDirect keep a controller of a tiny limit working.
	minAccepted = 16
	minDirect   = 16
	// directShare: a sixth of what is left after the internal sockets is for
	// commands, which share theirs.
	directShare = 6

	// The internal sockets: state service and cloud; a stream each way to every
	// other controller and as much again while they are opened anew; both
	// listeners; a spare for what is being closed.
	stateSockets    = 16
	cloudSockets    = 4
	socketsPerPeer  = 4
	listenerSockets = 2
	spareSockets    = 16
	// internalShare: they take a third of a small limit at most.
	internalShare = 3
)

// splitSockets splits the limit. One controller may be left with every worker:
// each holds one accepted connection, and commands need a few more at a time.
func splitSockets(limits config.Limits, nodes int) socketBudget {
	var b socketBudget
	b.memoryNeeded = (baseMB + connectionMB*float64(limits.FDLimit)) / memoryShare
	byMemory := int(min(1e9, (limits.MemoryMB*memoryShare-baseMB)/connectionMB)) // an infinite memory is no int
	limit := max(minSockets, min(limits.FDLimit, byMemory))
	b.internal = min(limit/internalShare, stateSockets+cloudSockets+socketsPerPeer*(nodes-1)+listenerSockets+spareSockets)
	b.direct = max(minDirect, (limit-b.internal)/directShare)
	b.accepted = max(minAccepted, limit-b.internal-b.direct)
	return b
}

// workers is how many workers one controller can hold alone.
func (b socketBudget) workers() int { return int(float64(b.accepted) * (1 - usersShare)) }

// socketsNeeded is the limit that so many workers would need, to 2%.
func socketsNeeded(workers int, limits config.Limits, nodes int) int {
	limits.MemoryMB = math.Inf(1)
	limits.FDLimit = workers
	for splitSockets(limits, nodes).workers() < workers {
		limits.FDLimit += max(1, limits.FDLimit/50)
	}
	return limits.FDLimit
}

// String is for the log.
func (b socketBudget) String() string {
	return fmt.Sprintf("%d accepted, %d to workers, %d of its own", b.accepted, b.direct, b.internal)
}
