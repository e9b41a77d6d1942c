package peer

import "time"

const (
	// AckLifetime is how long an acknowledgement of a fencing token counts, from when the heartbeat was sent that it answers.
	// It is X in docs/design.md. These rules rest on it:
	//
	//   - A leader without the state service answers workers as long as acknowledgements of its token by a quorum count. No node
	//     acknowledges a token below the highest that it knows, and any two quorums share a node. So once a quorum has
	//     acknowledged a successor's token, the earlier leader answers for AckLifetime more at most.
	//   - A fresh process acknowledges nothing for AckLifetime: it has forgotten what its predecessor acknowledged, which may
	//     have been a higher token.
	//   - A node that has been in contact within AckLifetime is connected.
	AckLifetime = 2 * time.Second

	// OutageLimit is how long a leader may answer workers without the state service, from the end of its grant there. It is B in
	// docs/design.md. A successor whose token no quorum has acknowledged yet reckons with answers of the earlier leader until
	// OutageLimit after its own term began, since the earlier grant had ended by then.
	OutageLimit = 60 * time.Second
)

const (
	// heartbeatPeriod leaves room for several heartbeats within AckLifetime, so that one that is lost or late ends nothing.
	heartbeatPeriod = AckLifetime / 5
	// streamIdleTimeout is how long a stream may be without a message before it is closed and opened anew. It is above
	// AckLifetime: by then nothing that the stream has brought counts any more.
	streamIdleTimeout = 3 * time.Second
	// maxUnanswered is how many heartbeats of a stream may be without an answer before the stream is closed. It only bounds
	// what is kept of them: they take longer to be sent than streamIdleTimeout, which is mostly reached before.
	maxUnanswered = 32
	// relayTimeout bounds a relayed request. A node that has sent nothing for so long does not count as connected any more.
	relayTimeout = AckLifetime
	// pingTimeout is how long an HTTP/2 connection may be without a frame before it is probed with a ping, and then how long
	// the answer to the ping may take.
	pingTimeout = 2 * time.Second
)
