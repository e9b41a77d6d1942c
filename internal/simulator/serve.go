package simulator

import (
	"io"
	"log"
	"net/http"
	"sync"
	"time"
)

// drainTime is how long clients may still wait for what was on its way.
const drainTime = 5 * time.Second

// ServeState lets a key-value store answer at StateAddr until stop is called, which ends
// the network and waits for what was on its way, in virtual time.
func (n *Network) ServeState(s *State) (stop func(), err error) {
	l, err := n.Host(hostOf(StateAddr)).Listen("tcp4", StateAddr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	var serving sync.WaitGroup
	serving.Go(func() { server.Serve(l) }) //nolint:errcheck // ends with Close
	return func() {
		n.Close()
		server.Close()
		serving.Wait()
		time.Sleep(drainTime)
		n.Close()
	}, nil
}
