package peer

import (
	"time"

	"lilaclead/internal/wire"
)

// event is a message that was received on a stream. The goroutine that owns the view handles it.
type event interface {
	handle(m *Mesh, current *View)
}

// heartbeatReceived is another node's heartbeat.
type heartbeatReceived struct {
	heartbeat Heartbeat
	// respondTo receives the response to the heartbeat. It is buffered, so that the handler does not
	// block if the stream has ended.
	respondTo chan<- Heartbeat
}

// responseReceived is another node's response to a heartbeat of this node.
type responseReceived struct {
	from     wire.NodeID
	response Heartbeat
	// requestedAt is when the heartbeat was sent.
	requestedAt time.Time
}

// handle applies the heartbeat to the view and answers it. It publishes the view before it hands over
// the response, so that the view contains all that the response states.
func (e heartbeatReceived) handle(m *Mesh, current *View) {
	from := e.heartbeat.From
	p := current.peerInContact(from)
	m.observeVersion(&e.heartbeat)
	current.observeHeartbeat(&p, &e.heartbeat)
	response := m.newResponse(current.Token, e.heartbeat.Sequence)
	if response.Delegation > 0 {
		p.DelegationGrantedAt = time.Now()
	}
	current.Peers[from] = p
	m.publish(current)
	e.respondTo <- response
}

// handle applies the response to the view.
func (e responseReceived) handle(m *Mesh, current *View) {
	p := current.peerInContact(e.from)
	m.observeVersion(&e.response)
	current.observeResponse(&p, &e.response, e.requestedAt)
	current.Peers[e.from] = p
	m.publish(current)
}
