package lilaclead

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lilaclead/internal/peer"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

func TestNodeWithoutStoreIsReadyUnlessPeerMayReachIt(t *testing.T) {
	now := time.Now()
	connected := peer.Peer{LastContact: now}
	heartbeatWithState := peer.Heartbeat{StateReachable: true}
	connectedWithState := peer.Peer{LastContact: now, Heartbeat: heartbeatWithState}
	disconnectedWithState := peer.Peer{LastContact: now.Add(-peer.AckLifetime), Heartbeat: heartbeatWithState}
	for name, c := range map[string]struct {
		peers map[wire.NodeID]peer.Peer
		want  string
	}{
		"no peer was ever in contact":    {nil, reasonIsolated},
		"no peer is in contact any more": {map[wire.NodeID]peer.Peer{"a": disconnectedWithState}, reasonIsolated},
		"a peer reaches the store":       {map[wire.NodeID]peer.Peer{"a": connected, "b": connectedWithState}, reasonNoStore},
		"no peer reaches the store":      {map[wire.NodeID]peer.Peer{"a": connected, "b": disconnectedWithState}, ""},
	} {
		if got := reasonWithoutStore(c.peers, now); got != c.want {
			t.Errorf("%s: reasonWithoutState(%+v) = %q, want %q", name, c.peers, got, c.want)
		}
	}
}

func TestOutageExcusesOnlyUnknownOrUnpublishedVersions(t *testing.T) {
	for name, c := range map[string]struct {
		refusal        error
		stateReachable bool
		want           bool
	}{
		"active version unknown in an outage": {fmt.Errorf("refused: %w", upgrade.ErrActiveUnknown), false, true},
		"not published in an outage":          {upgrade.ErrNotPublished, false, true},
		"active version unknown":              {upgrade.ErrActiveUnknown, true, false},
		"another refusal in an outage":        {errors.New("version 7 is active"), false, false},
	} {
		if got := excusedByOutage(c.refusal, c.stateReachable); got != c.want {
			t.Errorf("%s: excusedByOutage(%v, %v) = %v, want %v", name, c.refusal, c.stateReachable, got, c.want)
		}
	}
}
