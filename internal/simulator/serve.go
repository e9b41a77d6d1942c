package simulator

import (
	"io"
	"log"
	"net/http"
	"sync"
	"time"
)

// drainTime is how long stop waits for clients with open requests to give up.
const drainTime = 5 * time.Second

// ServeKVStore serves a key-value store at KVStoreAddr until stop is called. stop closes the
// network and waits for requests that are still open; it is meant for virtual time.
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
