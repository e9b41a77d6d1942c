package lilaclead

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"lilaclead/internal/peer"
)

// ListenError reports that an address of the settings file can't be bound. Retrying helps once
// the address is free.
type ListenError struct {
	// Setting is the name of the address in the settings file: front or peer_bind.
	Setting string
	Addr    string
	Err     error
}

// Error returns the setting and the cause.
func (e *ListenError) Error() string { return fmt.Sprintf("%s: %v", e.Setting, e.Err) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Err }

// Run serves until the context ends, and then returns nil. It returns a ListenError if it can't
// bind an address, and the server's error if it can no longer accept connections.
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
	n.startComponents(ctx)
	waitForHistory := n.history.start(ctx)
	defer waitForHistory()
	serveErrs := make(chan error, 2) // capacity for both servers, so that neither blocks after Run returns
	go func() { serveErrs <- userServer.Serve(bounded) }()
	go func() { serveErrs <- peerServer.Serve(peerListener) }()
	n.log.Info("node started", "front", n.cfg.UserAddr, "peers", n.cfg.PeerAddr, "features", n.features)
	select {
	case err = <-serveErrs:
	case <-ctx.Done():
	}
	cancel()
	// Close returns once Serve has stopped accepting connections.
	userServer.Close()
	peerServer.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// listen binds the address for users and agents, and that for the other nodes and operators.
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

// startComponents starts the components that run in the background until the context ends. Run
// doesn't wait for them to end.
func (n *Node) startComponents(ctx context.Context) {
	if n.versions.negotiated() {
		go n.versions.member.Run(ctx)
	}
	go n.mesh.Run(ctx)
	go n.leader.Run(ctx)
	go n.intake.Run(ctx)
	go n.machineTypes.run(ctx)
	go n.admin.FollowSettings(ctx, n.level.applyTuning)
}

// logLimits logs how the sockets are split, and warns if the memory limit is too small for the
// limit on sockets.
func (n *Node) logLimits() {
	limits := n.cfg.Settings.Limits
	n.log.Info("sockets split", "limit", limits.FDLimit, "split", n.sockets, "workers_alone", n.sockets.maxAgents())
	if n.sockets.memoryNeededMB > limits.MemoryMB {
		n.log.Warn("accepted connections reduced", "reason", "memory_mb is too small for fd_limit",
			"memory_mb", limits.MemoryMB, "needed", int(n.sockets.memoryNeededMB))
	}
}

// status returns this node's status, from which its heartbeats to the other nodes are made.
func (n *Node) status() peer.Status {
	status := peer.Status{
		Leads:                     n.leader.Leads(),
		Delegation:                n.leader.DelegationToken(),
		StateReachable:            n.store.Reachable(),
		ReachableAgents:           n.leader.ReachableAgents(),
		InFlightLaunchCancelSince: n.leader.InFlightLaunchCancelSince(),
	}
	n.versions.setVersionFields(&status)
	return status
}
