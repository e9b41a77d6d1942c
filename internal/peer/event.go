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
	// reply receives the response. It is buffered, so that the handler does not block if the stream
	// has ended.
	reply chan<- Heartbeat
}

// responseReceived is another node's response to a heartbeat of this node.
type responseReceived struct {
	from   wire.NodeID
	answer Heartbeat
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
	answer := m.newResponse(current.Token, e.heartbeat.Sequence)
	if answer.Delegation > 0 {
		p.DelegationGrantedAt = time.Now()
	}
	current.Peers[from] = p
	m.publish(current)
	e.reply <- answer
}

// handle applies the response to the view.
func (e responseReceived) handle(m *Mesh, current *View) {
	p := current.peerInContact(e.from)
	m.observeVersion(&e.answer)
	current.observeResponse(&p, &e.answer, e.requestedAt)
	current.Peers[e.from] = p
	m.publish(current)
}
