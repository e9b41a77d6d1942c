package peer

import "time"

const (
	// AckLifetime is how long an acknowledgement of a fencing token is valid, counted from when the
	// heartbeat that it answers was sent. It is X in docs/design.md. These rules depend on it:
	//
	//   - Without the key-value store, a leader answers agents only while a quorum's acknowledgements
	//     of its token are valid. No node acknowledges a token below the highest that it knows, and any
	//     two quorums share a node. So once a quorum has acknowledged a successor's token, the earlier
	//     leader answers for at most AckLifetime longer.
	//   - A newly started process acknowledges nothing for AckLifetime. It does not know what the
	//     previous process of its node acknowledged, which may have been a higher token.
	//   - A node counts as connected if it was in contact within AckLifetime.
	AckLifetime = 2 * time.Second

	// OutageLimit is how long a leader may answer agents without the key-value store, counted from the
	// end of its grant there. It is B in docs/design.md. Until a quorum has acknowledged a successor's
	// token, the successor assumes that the earlier leader may answer until OutageLimit after the
	// successor's term began, because the earlier grant had ended when that term began.
	OutageLimit = 60 * time.Second
)

const (
	// heartbeatPeriod is the time between two heartbeats of a stream. Several fit into AckLifetime, so
	// that a lost or late heartbeat alone invalidates nothing.
	heartbeatPeriod = AckLifetime / 5
	// streamIdleTimeout is how long an end of a stream waits for a message before it closes the stream,
	// which is then reopened. It is longer than AckLifetime, so an idle stream is closed only after the
	// acknowledgements and the contact that it brought have expired.
	streamIdleTimeout = 3 * time.Second
	// maxUnansweredHeartbeats is how many heartbeats of a stream may be unanswered before the stream is
	// closed. It only bounds the memory for them: sending so many takes longer than streamIdleTimeout,
	// so the watchdog usually closes the stream first.
	maxUnansweredHeartbeats = 32
	// relayTimeout bounds a relayed request. A node that has not been in contact for so long no
	// longer counts as connected.
	relayTimeout = AckLifetime
	// pingTimeout is how long an HTTP/2 connection may receive no frame before a ping is sent, and how
	// long the response to the ping may take.
	pingTimeout = 2 * time.Second
)
