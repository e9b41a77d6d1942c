// Package undecodable logs records and messages that can't be decoded, each source once:
// they are read again and again, and would fill the log.
package undecodable

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
)

// maxSources bounds the sources that are remembered. Beyond it nothing more is logged:
// then it is not single records that are wrong.
const maxSources = 1024

// Log logs each source of undecodable bytes once. It is safe for concurrent use. A nil Log
// logs nothing.
type Log struct {
	log *slog.Logger

	mu     sync.Mutex
	logged map[string]struct{} // by source
}

// New returns a Log that has logged nothing yet.
func New(log *slog.Logger) *Log { return &Log{log: log, logged: map[string]struct{}{}} }

// Sender returns the host that a request is from.
func Sender(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// LogOnce logs why a record or message can't be decoded, unless one of the same source was
// logged before. The source is a key of the key-value store, or what a message is and whom
// it is from.
func (l *Log) LogOnce(source string, err error) {
	if l == nil {
		return
	}
	if l.isFirst(source) {
		l.log.Error("undecodable input rejected", "source", source, "err", err)
	}
}

// isFirst reports whether the source is to be logged, and remembers that it was.
func (l *Log) isFirst(source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, logged := l.logged[source]; logged || len(l.logged) >= maxSources {
		return false
	}
	l.logged[source] = struct{}{}
	return true
}
