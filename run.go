package lilaclead

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"lilaclead/internal/peer"
)

// ListenError reports an address of the settings file that can't be bound. Trying again
// helps once the address is free.
type ListenError struct {
	// Setting is the address's name in the settings file.
	Setting string
	Addr    string
	Err     error
}

// Error returns the setting and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("%s: %v", e.Setting, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Run serves until the context ends. It returns nil then, and an error if it can't serve
// or no longer can.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	userListener, peerListener, err := n.listen()
	if err != nil {
		return err
	}
	n.logLimits()
	bounded := newBoundedListener(userListener, n.sockets.accepted, n.log)
	userServer, peerServer := n.userServer(bounded), n.peerServer()
	n.startActors(ctx)
	waitForHistory := n.history.start(ctx)
	defer waitForHistory()
	serveErrs := make(chan error, 2) // room for both servers, so that neither blocks once Run is done
	go func() { serveErrs <- userServer.Serve(bounded) }()
	go func() { serveErrs <- peerServer.Serve(peerListener) }()
	n.log.Info("node started", "front", n.cfg.UserAddr, "peers", n.cfg.PeerAddr, "features", n.features)
	select {
	case err = <-serveErrs:
	case <-ctx.Done():
	}
	cancel()
	// Close waits until Serve no longer accepts.
	userServer.Close()
	peerServer.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listen binds the address for users and workers, and that for the other nodes.
func (n *Node) listen() (users, peers net.Listener, err error) {
	users, err = n.listenOn("front", n.cfg.UserAddr)
	if err != nil {
		return nil, nil, err
	}
	peers, err = n.listenOn("peer_bind", n.cfg.PeerAddr)
	if err != nil {
		users.Close()
		return nil, nil, err
	}
	return users, peers, nil
}

func (n *Node) listenOn(setting, addr string) (net.Listener, error) {
	listener, err := n.net.Listen("tcp4", addr)
	if err != nil {
		return nil, &ListenError{Setting: setting, Addr: addr, Err: err}
	}
	return listener, nil
}

// startActors starts what runs until the context ends. Run returns without waiting for
// its end.
func (n *Node) startActors(ctx context.Context) {
	if n.versions.negotiated() {
		go n.versions.member.Run(ctx)
	}
	go n.mesh.Run(ctx)
	go n.leader.Run(ctx)
	go n.intake.Run(ctx)
	go n.machineTypes.run(ctx)
	go n.admin.FollowSettings(ctx, n.level.applyTuning)
}

// logLimits logs how the sockets are split, and limits that don't fit each other.
func (n *Node) logLimits() {
	limits := n.cfg.Settings.Limits
	n.log.Info("sockets split", "limit", limits.FDLimit, "split", n.sockets, "workers_alone", n.sockets.workers())
	if n.sockets.memoryNeeded > limits.MemoryMB {
		n.log.Warn("accepted connections reduced", "reason", "memory_mb is too small for fd_limit",
			"memory_mb", limits.MemoryMB, "needed", int(n.sockets.memoryNeeded))
	}
}

// status returns what the other nodes are told of this one.
func (n *Node) status() peer.Status {
	status := peer.Status{
		Leads:                  n.leader.Leads(),
		Delegation:             n.leader.DelegationToken(),
		StateReachable:         n.store.Reachable(),
		ReachableWorkers:       n.leader.ReachableWorkers(),
		UnconfirmedCancelSince: n.leader.UnconfirmedCancelSince(),
	}
	n.versions.addTo(&status)
	return status
}
