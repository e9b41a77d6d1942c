package leader

import (
	"context"
	"sync/atomic"
	"time"

	"lilaclead/internal/wire"
)

const (
	// contactLifetime is how long an agent counts as in contact after a heartbeat.
	contactLifetime = 6 * time.Second
	// contactRecountInterval is the interval at which the agents in contact are counted.
	contactRecountInterval = time.Second
	// contactBacklog is how many contacts are buffered. Contacts beyond it are dropped, so
	// that no heartbeat waits for the count.
	contactBacklog = 64
)

// agentContacts counts the agents that send heartbeats to this node, whoever leads.
type agentContacts struct {
	recorded  chan wire.MachineID
	inContact atomic.Int64
}

func newAgentContacts() *agentContacts {
	return &agentContacts{recorded: make(chan wire.MachineID, contactBacklog)}
}

// record notes that the agent on a machine has sent a heartbeat. It does not block.
func (c *agentContacts) record(id wire.MachineID) {
	select {
	case c.recorded <- id:
	default:
	}
}

// count updates the number of agents in contact periodically until the context ends.
func (c *agentContacts) count(ctx context.Context) {
	lastContact := map[wire.MachineID]time.Time{}
	tick := time.NewTicker(contactRecountInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-c.recorded:
			lastContact[id] = time.Now()
		case now := <-tick.C:
			removeOldContacts(lastContact, now)
			c.inContact.Store(int64(len(lastContact)))
		}
	}
}

func removeOldContacts(lastContact map[wire.MachineID]time.Time, now time.Time) {
	for id, at := range lastContact {
		if now.Sub(at) > contactLifetime {
			delete(lastContact, id)
		}
	}
}

// ReachableAgents returns how many agents have sent a heartbeat to this node within
// contactLifetime.
func (l *Leader) ReachableAgents() int { return int(l.contacts.inContact.Load()) }
