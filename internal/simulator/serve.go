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

// ServeKVStore lets a key-value store answer at KVStoreAddr until stop is called, which ends
// the network and waits for what was on its way, in virtual time.
func (n *Network) ServeKVStore(s *KVStore) (stop func(), err error) {
	l, err := n.Host(hostOf(KVStoreAddr)).Listen("tcp4", KVStoreAddr)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: s, ErrorLog: log.New(io.Discard, "", 0)}
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(l) }) // ends with Close
	return func() {
		n.Close()
		server.Close()
		serving.Wait()
		time.Sleep(drainTime)
		n.Close()
	}, nil
}
