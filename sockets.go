package lilaclead

import (
	"fmt"
	"math"

	"lilaclead/internal/config"
)

// socketBudget says how a process's limit on sockets is split among their uses.
type socketBudget struct {
	accepted int // connections from agents, users and health checks
	direct   int // connections to agents, for commands
	internal int // to the key-value store, the cloud and the other controllers, and a reserve
	// memoryNeededMB is the least memory_mb with which all sockets of fd_limit can be used.
	memoryNeededMB float64
}

const (
	// usersShare is the fraction of the accepted connections that is left for users and
	// health checks. maxAgents excludes it.
	usersShare = 0.1
	// baseMB is the memory of a process without connections. connectionMB is that of each
	// connection and of the state of the machine behind it. At 1.5 times the largest
	// deployment a process takes 165 MB with 3,400 connections, 217 MB with 4,296, and
	// 12 MB with 120.
	baseMB       = 12
	connectionMB = 0.048
	// memoryShare is the fraction of memory_mb that this budget may use.
	memoryShare = 0.9
	// maxConnectionsByMemory bounds the number of connections that fit into the memory.
	// With the infinite memory of socketsNeeded, that number would not fit into an int.
	maxConnectionsByMemory = 1e9

	// minSockets is the smallest fd_limit that the settings allow.
	minSockets = 64
	// minAccepted and minDirect let a controller work even with a tiny limit.
	minAccepted = 16
	minDirect   = 16
	// directDivisor gives commands a sixth of the sockets that remain after the internal
	// ones. The commands to all agents share these sockets.
	directDivisor = 6

	// Internal sockets: for the key-value store and the cloud; for every other controller
	// a stream in each direction, and as many again while the streams are reopened; for
	// both listeners; and a reserve for sockets that are being closed.
	stateSockets    = 16
	cloudSockets    = 4
	socketsPerPeer  = 4
	listenerSockets = 2
	reserveSockets  = 16
	// internalDivisor bounds the internal sockets to a third of a small limit.
	internalDivisor = 3
)

// splitSockets splits a node's limit on sockets, given the number of nodes in the deployment. A
// single node may have to serve every agent. Each agent holds one accepted connection, and
// commands need a few more at a time.
func splitSockets(limits config.ProcessLimits, nodes int) socketBudget {
	limit := max(minSockets, min(limits.FDLimit, connectionsInMemory(limits.MemoryMB)))
	internal := min(limit/internalDivisor, internalSockets(nodes))
	direct := max(minDirect, (limit-internal)/directDivisor)
	return socketBudget{
		accepted:       max(minAccepted, limit-internal-direct),
		direct:         direct,
		internal:       internal,
		memoryNeededMB: (baseMB + connectionMB*float64(limits.FDLimit)) / memoryShare,
	}
}

// connectionsInMemory returns how many connections fit into the memory.
func connectionsInMemory(memoryMB float64) int {
	return int(min(maxConnectionsByMemory, (memoryMB*memoryShare-baseMB)/connectionMB))
}

// internalSockets returns how many sockets a node needs besides those of agents and users.
func internalSockets(nodes int) int {
	return stateSockets + cloudSockets + socketsPerPeer*(nodes-1) + listenerSockets + reserveSockets
}

// maxAgents returns how many agents a single node can serve.
func (b socketBudget) maxAgents() int { return int(float64(b.accepted) * (1 - usersShare)) }

// searchDivisor sets the precision of socketsNeeded, which raises the limit in steps of 2%.
const searchDivisor = 50

// socketsNeeded returns the fd_limit with which a single node can serve the given number of
// agents, if it has the memory. The result is accurate to 2%.
func socketsNeeded(agents int, limits config.ProcessLimits, nodes int) int {
	limits.MemoryMB = math.Inf(1)
	limits.FDLimit = agents
	for splitSockets(limits, nodes).maxAgents() < agents {
		limits.FDLimit += max(1, limits.FDLimit/searchDivisor)
	}
	return limits.FDLimit
}

// String returns the split as it is logged.
func (b socketBudget) String() string {
	return fmt.Sprintf("%d accepted, %d to workers, %d of its own", b.accepted, b.direct, b.internal)
}
