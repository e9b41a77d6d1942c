// Package undecodable logs records and messages that can't be decoded, each of them
// once: they are read again and again, and would fill the log.
package undecodable

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
)

// remembered bounds what is kept of what was logged. Beyond it nothing more is
// logged: then it is not single records that are wrong.
const remembered = 1024

// Log is safe for concurrent use. A nil Log logs nothing.
type Log struct {
	log *slog.Logger

	mu   sync.Mutex
	seen map[string]struct{}
}

// New makes a Log that has logged nothing yet.
func New(log *slog.Logger) *Log { return &Log{log: log, seen: map[string]struct{}{}} }

// Sender is the host that a request is from.
func Sender(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// Note logs what can't be decoded, unless it was logged before: a key of the state
// service, or whom a message is from.
func (l *Log) Note(what string, err error) {
	if l == nil {
		return
	}
	l.mu.Lock()
	_, known := l.seen[what]
	if known = known || len(l.seen) >= remembered; !known {
		l.seen[what] = struct{}{}
	}
	l.mu.Unlock()
	if !known {
		l.log.Error("undecodable", "what", what, "err", err)
	}
}
