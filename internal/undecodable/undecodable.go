// Package undecodable logs records and messages that can't be decoded. It logs each source only
// once: the same record is read repeatedly, and the same sender may send many such messages, which
// would fill the log.
package undecodable

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
)

// maxSources bounds the number of sources that are remembered. Beyond it nothing more is logged, since
// the fault is then not in single records.
const maxSources = 1024

// Log logs each source of undecodable input once. It is safe for concurrent use. A nil *Log logs
// nothing.
type Log struct {
	log *slog.Logger

	mu     sync.Mutex
	logged map[string]struct{} // the sources that were logged
}

// New returns a Log that has logged nothing yet.
func New(log *slog.Logger) *Log { return &Log{log: log, logged: map[string]struct{}{}} }

// Sender returns the host that sent a request, without the port.
func Sender(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// LogOnce logs why a record or message can't be decoded, unless one of the same source was logged
// before. The source is a key of the key-value store, or a description of the message and its sender.
func (l *Log) LogOnce(source string, err error) {
	if l == nil {
		return
	}
	if l.markLogged(source) {
		l.log.Error("undecodable input rejected", "source", source, "err", err)
	}
}

// markLogged reports whether the source is to be logged, and if so remembers it as logged.
func (l *Log) markLogged(source string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, logged := l.logged[source]; logged || len(l.logged) >= maxSources {
		return false
	}
	l.logged[source] = struct{}{}
	return true
}
